"""HTTP route for operators: how fast objectives' budgets burn here."""

import dataclasses

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

from dahliashunt.entry.measures import Measures
from dahliashunt.entry.operator_answers import answer
from dahliashunt.entry.operator_requests import text
from dahliashunt.errors import PlatformError
from dahliashunt.ports.clock import Clock
from dahliashunt.records.kinds.policies import ROLES
from dahliashunt.report.objectives import Sli
from dahliashunt.report.views import entry_detail
from dahliashunt.report.views import histogram_rows
from dahliashunt.report.views import summary_view

__all__ = ["add_burn_routes"]


def add_burn_routes(
    app: Application, context, measures: Measures, clock: Clock, node_id: str
) -> None:
    """Add ``/operator/burn``; any operator may read it.

    Parameters
    ----------
    app : blacksheep.Application
    context : OperatorContext
    measures : Measures
    clock : Clock
    node_id : str

    Notes
    -----
    With ``detail=true`` the answer has the buckets and the encoded
    histograms too, for `dahliashunt-report` to merge.
    """

    async def burn(request, who):
        wall_ms = clock.wall_ms()
        ring = measures.ring
        found = summary_view(
            {sli: ring.minutes(sli) for sli in Sli},
            [_burner(each) for each in ring.burners()],
            wall_ms,
        )
        encoded = measures.metrics.encoded_by_name()
        found["node_id"] = node_id
        found["latencies"] = histogram_rows(encoded)
        found["late_jobs"] = await _late_jobs(context, wall_ms)
        if text(request, "detail") == "true":
            found["detail"] = entry_detail(ring, encoded)
        return found

    async def respond(request: Request) -> Response:
        return await answer(request, context, burn, ROLES)

    app.router.add("GET", "/operator/burn", respond)


def _burner(burner):
    return {
        "objective": burner.sli.value,
        "kind": burner.kind,
        "name": burner.name,
        "bad": burner.bad,
    }


async def _late_jobs(context, wall_ms):
    """Return unfinished jobs past their due time; none in an outage."""
    try:
        jobs = await context.jobs()
    except PlatformError:
        return []
    return [
        dataclasses.asdict(job)
        for job in jobs
        if job.due_wall_ms and job.due_wall_ms < wall_ms
    ]
