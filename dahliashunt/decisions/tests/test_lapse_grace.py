"""Tests of the grace of rows that may have lapsed, against its bounds."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from dahliashunt.decisions.lapse_grace import LAPSE_GRACE_MS
from dahliashunt.decisions.lapse_grace import LapseGrace
from dahliashunt.decisions.lapse_grace import ReadGap

HEARTBEAT_MS = 1_200
DRAIN_MS = 2_000
CONTACT_MS = 3_000

RETURN_MS = 2_000
"""Time after the store's return within which live replicas renew their
rows."""


@pytest.fixture
def grace():
    return LapseGrace(HEARTBEAT_MS, DRAIN_MS, CONTACT_MS)


def test_one_failed_call_is_no_outage_of_the_list(grace):
    # Guards against the use of removed replicas after a reset connection.
    grace.gap_ended(ReadGap(heard_ms=0, failed_ms=1, ended_ms=1_110))
    assert grace.lapse(1_700, 1_100) is None


def test_a_row_that_is_never_renewed_is_dropped_at_last(grace):
    grace.gap_ended(ReadGap(heard_ms=0, failed_ms=5_000, ended_ms=5_100))
    assert grace.lapse(5_100 + LAPSE_GRACE_MS, 7_000) is None


@pytest.mark.parametrize("absent_ms", [2_400, 5_000, 60_000])
@pytest.mark.parametrize("call_ms", [0, 150, 700])
def test_rows_that_lapsed_with_the_store_are_back_in_time(
    grace, absent_ms, call_ms
):
    # Guards against replicas dropped between the store's return and the
    # renewal of their rows. The last call fails just before the return, and
    # the next one follows after the longest pause.
    failed_ms = absent_ms - call_ms
    ended_ms = absent_ms + 400
    grace.gap_ended(ReadGap(0, failed_ms, ended_ms))
    lapse = grace.lapse(ended_ms, 0)
    assert lapse.until_ms_if_most_lapsed >= absent_ms + RETURN_MS
    assert lapse.until_ms >= absent_ms + RETURN_MS


@given(
    gap_ms=st.integers(0, 20_000),
    failed_ms=st.integers(0, 20_000),
    read_ms=st.integers(0, 5_000),
    removed_ms=st.integers(0, 5_000),
    seen_ms=st.integers(0, 5_000),
)
def test_no_removed_replica_is_used_past_the_bounds(
    gap_ms, failed_ms, read_ms, removed_ms, seen_ms
):
    # Guards against graces that add up to more than the time for draining,
    # whenever the row is removed and however late that is read.
    grace = LapseGrace(HEARTBEAT_MS, DRAIN_MS, CONTACT_MS)
    failed_ms = min(failed_ms, gap_ms)
    grace.gap_ended(ReadGap(0, failed_ms, gap_ms))
    as_of_ms = gap_ms + read_ms
    removed_ms += as_of_ms
    now_ms = removed_ms + seen_ms
    lapse = grace.lapse(now_ms, as_of_ms)
    if lapse is not None and now_ms < lapse.until_ms:
        in_touch_ms = failed_ms + CONTACT_MS
        assert lapse.until_ms <= max(removed_ms + DRAIN_MS, in_touch_ms)


@given(gap_ms=st.integers(0, 20_000), failed_ms=st.integers(0, 20_000))
def test_a_removal_within_the_gap_is_bounded_as_well(gap_ms, failed_ms):
    # Guards against replicas that were removed while this entry alone was cut
    # off from the store.
    grace = LapseGrace(HEARTBEAT_MS, DRAIN_MS, CONTACT_MS)
    failed_ms = min(failed_ms, gap_ms)
    grace.gap_ended(ReadGap(0, failed_ms, gap_ms))
    lapse = grace.lapse(gap_ms, 0)
    if lapse is not None:
        assert lapse.until_ms <= max(DRAIN_MS, failed_ms + CONTACT_MS)
