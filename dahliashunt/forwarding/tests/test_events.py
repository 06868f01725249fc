"""Tests of how a stream is split into events and an event into fields."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from dahliashunt.forwarding.events import EventSplitter

NO_LINE_ENDS = tuple("\x0b\x0c\x1c\x1d\x1e\x85\u2028\u2029")
"""Separators at which `str.splitlines` splits, and events do not."""

LINE_ENDS = ("\n", "\r\n", "\r")


def event_of(text, line_end="\n"):
    return line_end.join(("id: 1", *text, "", "")).encode()


def split_event(raw):
    (event,) = EventSplitter().feed(raw)
    return event


@pytest.mark.parametrize("separator", NO_LINE_ENDS, ids=ascii)
@pytest.mark.parametrize("place", ["{}a", "a{}b", "a{}", "{}"])
def test_a_separator_within_a_line_stays_in_the_data(separator, place):
    """Guards against text that is lost after a separator in an event."""
    text = place.format(separator)
    event = split_event(event_of([f"data: {text}", "data: next"]))
    assert event.number == 1
    assert event.data() == f"{text}\nnext"


@pytest.mark.parametrize("separator", NO_LINE_ENDS, ids=ascii)
def test_a_line_within_the_data_is_no_field(separator):
    """Guards against data that counts as an event's id."""
    raw = f"data: a{separator}id: 9{separator}data: b\nid: 1\n\n".encode()
    event = split_event(raw)
    assert event.number == 1
    assert event.data() == f"a{separator}id: 9{separator}data: b"


@pytest.mark.parametrize("line_end", LINE_ENDS, ids=ascii)
def test_each_line_end_of_the_standard_ends_an_event(line_end):
    """Guards against a stream of which no event is ever complete."""
    stream = event_of(["data:a", "data:  b "], line_end) * 2
    for size in range(1, len(stream) + 1):
        splitter = EventSplitter()
        events = []
        for at in range(0, len(stream), size):
            events += splitter.feed(stream[at : at + size])
        assert [event.data() for event in events] == ["a\n b "] * 2
        assert b"".join(event.raw for event in events) == stream
        assert splitter.rest == b""


@pytest.mark.parametrize("line_end", LINE_ENDS, ids=ascii)
def test_blank_lines_after_the_last_event_begin_none(line_end):
    """Guards against a whole stream that counts as broken off."""
    splitter = EventSplitter()
    stream = event_of(["data: a"], line_end) + line_end.encode()
    events = splitter.feed(stream)
    assert splitter.rest == b""
    assert events[0].raw + splitter.blank_lines == stream
    splitter.feed(b"id")
    assert splitter.rest != b""


def test_a_byte_order_mark_is_not_part_of_the_first_field():
    """Guards against a first event without a number, which items drop."""
    event = split_event("\ufeffid: 1\ndata: \ufeffa\n\n".encode())
    assert (event.number, event.data()) == (1, "\ufeffa")


@given(
    st.lists(
        st.sampled_from([b"id: 1", b"data: a", b"\r", b"\n", b"\x0c", b":"])
    ),
    st.lists(st.integers(0, 60)),
)
def test_events_do_not_depend_on_how_reads_cut_them(parts, cuts):
    """Guards against bytes that are lost, or moved, between two reads."""
    stream = b"".join(parts)
    bounds = [0, *sorted(cut for cut in cuts if cut < len(stream)), None]
    splitter, whole = EventSplitter(), EventSplitter()
    events = []
    for start, end in itertools.pairwise(bounds):
        events += splitter.feed(stream[start:end])
    expected = whole.feed(stream)
    for part, found in ((splitter, events), (whole, expected)):
        left = part.rest + part.blank_lines
        assert b"".join(event.raw for event in found) + left == stream
    assert numbered(events) == numbered(expected)


def numbered(events):
    return [
        (event.number, event.data())
        for event in events
        if event.number is not None
    ]
