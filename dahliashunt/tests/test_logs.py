"""Logs that never wait for their reader."""

import os

from dahliashunt.logs import BoundedLoggerFactory
from dahliashunt.logs import LINES_AT_ONCE
from dahliashunt.logs import LINES_PER_S


def drain(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while part := os.read(descriptor, 65536):
            data += part
    except BlockingIOError:
        return data.decode().splitlines()
    return data.decode().splitlines()


def test_a_flood_is_cut_and_counted():
    # Overload: each refused request is a decision with a line. The lines
    # must not take the processor from the requests.
    now_s = [0.0]
    reader, writer = os.pipe()
    log = BoundedLoggerFactory(writer, lambda: now_s[0])
    for number in range(LINES_AT_ONCE + 50):
        log.info(f"line {number}")
    assert len(drain(reader)) == LINES_AT_ONCE
    now_s[0] = 1 / LINES_PER_S
    log.info("after")
    assert drain(reader) == [
        '{"event": "lines_dropped", "lines": 50}',
        "after",
    ]


def test_a_full_pipe_drops_whole_lines():
    # Nobody reads the output any more. A line that fits in part is
    # finished first when there is room again.
    reader, writer = os.pipe()
    log = BoundedLoggerFactory(writer, lambda: 0.0)
    line = "x" * 1000
    for _ in range(100):
        log.info(line)
    assert log.dropped > 0
    first = drain(reader)
    log.info("after")
    second = drain(reader)
    joined = first[-1] + second[0] if first[-1] != line else first[-1]
    assert joined == line
    assert second[-1] == "after"
