"""Quarantine of crashing requests, and its limits for popular ones."""

from dahliashunt.decisions.loss_counts import INITIAL_QUARANTINE_MS
from dahliashunt.decisions.loss_counts import LossCounts
from dahliashunt.decisions.loss_counts import MAX_LOSSES
from dahliashunt.decisions.loss_counts import MAX_QUARANTINE_MS


def test_a_request_that_takes_replicas_down_is_refused():
    counts = LossCounts()
    for number in range(MAX_LOSSES):
        began_ms = 100 * number
        assert not counts.is_quarantined("bad", began_ms)
        counts.lost("bad", began_ms, began_ms + 50)
    assert counts.is_quarantined("bad", began_ms + 51)


def test_a_popular_request_is_not_refused_for_one_cause():
    # Guards against counting concurrent runs lost to one cause as several
    # losses in a row.
    counts = LossCounts()
    for number in range(8):
        counts.lost("popular", 10 * number, 500 + 10 * number)
    assert counts.losses("popular", 600) == 1
    assert not counts.is_quarantined("popular", 600)


def test_a_popular_request_comes_back_after_an_outage():
    # Guards against a quarantine that outlasts an outage of all replicas.
    counts = LossCounts()
    now_ms = 0
    while now_ms < 10_000 and not counts.is_quarantined("popular", now_ms):
        counts.lost("popular", now_ms, now_ms + 50)
        now_ms += 200
    assert counts.is_quarantined("popular", now_ms)
    assert not counts.is_quarantined("popular", now_ms + INITIAL_QUARANTINE_MS)
    assert counts.served("popular")
    assert not counts.is_quarantined("popular", now_ms)


def test_a_crashing_request_takes_ever_fewer_replicas():
    # Guards against a loss of replicas at each resend over an hour.
    counts = LossCounts()
    taken_ms = []
    for now_ms in range(0, 3_600_000, 1_500):
        if not counts.is_quarantined("bad", now_ms):
            taken_ms.append(now_ms)
            counts.lost("bad", now_ms, now_ms + 50)
    assert len(taken_ms) <= MAX_LOSSES + 12
    last = taken_ms[-2:]
    assert last[1] - last[0] >= MAX_QUARANTINE_MS


def test_a_count_of_another_entry_counts_here():
    counts = LossCounts()
    counts.learn("bad", MAX_LOSSES, 0)
    assert counts.is_quarantined("bad", 1)
    counts.learn("bad", 1, 2)
    assert counts.losses("bad", 2) == MAX_LOSSES


def test_the_oldest_digests_go_first_when_there_are_too_many():
    counts = LossCounts(max_digests=3)
    for number in range(5):
        counts.lost(f"d{number}", number, number + 1)
    kept = [n for n in range(5) if counts.losses(f"d{n}", 5)]
    assert kept == [2, 3, 4]
