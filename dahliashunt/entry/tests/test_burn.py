import asyncio
from types import SimpleNamespace

from blacksheep import Application
from blacksheep.server.routing import Router
from blacksheep.testing import TestClient
import pytest

from dahliashunt.adapters.clock import VirtualClock
from dahliashunt.entry.burn_routes import add_burn_routes
from dahliashunt.entry.measures import Measures
from dahliashunt.entry.tests.operator_fakes import Context
from dahliashunt.entry.tests.operator_fakes import ROOT
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError
from dahliashunt.metrics import Metrics
from dahliashunt.records.tests.fakes import FakeTable
from dahliashunt.report.merge import merge
from dahliashunt.report.objectives import Sli


@pytest.fixture
def measures():
    made = Measures(Metrics("entry-1"), VirtualClock())
    made.endpoint_of = lambda call: "replica-1"
    return made


def call_of(number):
    request = SimpleNamespace(
        request_id=f"r{number}", model="notes", caller="bench"
    )
    return SimpleNamespace(request=request, request_id=request.request_id)


def counts(measures, sli):
    found = measures.ring.minutes(sli).values()
    return sum(c.good for c in found), sum(c.bad for c in found)


def test_times_count_against_their_objectives(measures):
    for number, first_ms in enumerate((760, 761)):
        call = call_of(number)
        measures.arrived(call, 0)
        measures.tokens(call, first_ms, 1)
        measures.tokens(call, first_ms + 2 * 69, 2)
        measures.tokens(call, first_ms + 2 * 69 + 70, 1)
        measures.answered(call, 2000)
    assert counts(measures, Sli.FIRST_TOKEN) == (1, 1)
    assert counts(measures, Sli.TOKEN_GAP) == (4, 2)
    assert counts(measures, Sli.AVAILABILITY) == (2, 0)
    assert {(b.kind, b.name) for b in measures.ring.burners()} == {
        ("caller", "bench"),
        ("model", "notes"),
        ("endpoint", "replica-1"),
    }


def test_a_callers_own_limit_burns_nothing_and_overload_does(measures):
    for number, kind in enumerate(ErrorKind):
        measures.refused(call_of(number).request, RequestError(kind, "why"))
    good, bad = counts(measures, Sli.AVAILABILITY)
    assert good == 0
    assert bad == 10
    before = bad
    limit = RequestError(ErrorKind.OVER_LIMIT, "over your limit")
    measures.refused(call_of(99).request, limit)
    assert counts(measures, Sli.AVAILABILITY)[1] == before


def test_the_route_wants_an_operators_key_and_can_be_merged(measures):
    async def ask(key, **query):
        app = Application(router=Router())
        context = Context(FakeTable())
        clock = VirtualClock()
        add_burn_routes(app, context, measures, clock, "entry-1")
        await app.start()
        headers = {"Authorization": f"Bearer {key}"}
        response = await TestClient(app).get(
            "/operator/burn", headers=headers, query=query
        )
        return response.status, await response.json()

    call = call_of(1)
    measures.arrived(call, 0)
    measures.tokens(call, 900, 1)
    assert asyncio.run(ask("wrong"))[0] == 401
    status, brief = asyncio.run(ask(ROOT))
    assert status == 200 and "detail" not in brief
    _, full = asyncio.run(ask(ROOT, detail="true"))
    report = merge([full, full], full["wall_ms"])
    assert report["latencies"][0]["count"] == 2
    bad = [w["bad"] for w in report["windows"] if w["bad"]]
    assert bad == [2, 2, 2, 2]
