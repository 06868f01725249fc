import random
from types import SimpleNamespace

import pytest
import structlog

from dahliashunt.adapters.wire.gen.link.ttypes import Hello
from dahliashunt.adapters.wire.gen.link.ttypes import LoadReport
from dahliashunt.decisions.batch_placement import BatchPlacement
from dahliashunt.decisions.entry import EntryDecisions
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.decisions.events import Dispatch
from dahliashunt.decisions.events import OnlineRequest
from dahliashunt.entry.endpoint_book import EndpointBook
from dahliashunt.entry.endpoint_book import Unusable

NOW = 1_000


@pytest.fixture
def decisions():
    return EntryDecisions(EntryPolicy(), random.Random(1), "hall-a")


@pytest.fixture
def places():
    return BatchPlacement()


@pytest.fixture
def book(decisions, places):
    return EndpointBook(decisions, places, structlog.get_logger())


def load():
    return LoadReport(0, 0, 0, 0, 0, 1000, 10.0, 4, ["notes"], 0)


def up(book, name, now=NOW, leaving=False):
    link = SimpleNamespace(endpoint_id=name)
    hello = Hello(
        node_id=name, data_centre="hall-a", leaving=leaving, load=load()
    )
    book.link_up(now, link, hello)
    return link


def sent_to(decisions, name, now=NOW):
    request = OnlineRequest(
        name, "bench", "notes", 5, 5, (), now + 760, True, name
    )
    decided = decisions.arrive(now, request)
    return [d.endpoint_id for d in decided if isinstance(d, Dispatch)]


def test_cut_endpoint_gets_nothing_while_another_serves(book, decisions):
    # Callers are refused as lost beside a healthy endpoint. The other's
    # agent was killed, and until it was judged down every second request
    # went there, came back as not run, and used up the retry budget.
    up(book, "a")
    up(book, "b")
    book.mark(NOW, "a", Unusable.CUT)
    assert {sent_to(decisions, f"r{n}")[0] for n in range(6)} == {"b"}
    assert book.by_id["a"].state == "cut"


def test_endpoint_is_used_again_once_it_greets(book, decisions, places):
    link = up(book, "a")
    book.mark(NOW, "a", Unusable.CUT)
    assert places.room_by_model() == {}
    up(book, "a", NOW + 500)
    assert book.by_id["a"].is_usable
    assert book.report(NOW + 600, link, load()) == []
    assert places.room_by_model() == {"notes": 4}


def test_endpoint_returns_only_when_the_last_reason_is_gone(book, decisions):
    # A drained endpoint gets work again: the instance list stopped calling
    # it leaving, and that was taken for a reason to use it.
    up(book, "a")
    book.drains(NOW, frozenset("a"))
    book.listed_leaving(NOW, frozenset("a"))
    book.listed_leaving(NOW + 1, frozenset())
    assert sent_to(decisions, "r1", NOW + 2) == []
    book.drains(NOW + 3, frozenset())
    assert book.by_id["a"].is_usable


def test_report_of_a_leaving_endpoint_does_not_bring_it_back(book, decisions):
    link = up(book, "a", leaving=True)
    book.report(NOW + 1, link, load())
    assert sent_to(decisions, "r1", NOW + 2) == []
    assert book.by_id["a"].state == "leaving"
