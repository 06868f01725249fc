"""Entries and nodes that answer the command line without end."""

import asyncio

import pytest

from dahliashunt.cli.bounded_response import MAX_BODY_BYTES
from dahliashunt.cli.client import Client
from dahliashunt.cli.client import ROUNDS
from dahliashunt.cli.nodes import ask_node
from dahliashunt.errors import DahliashuntError
from dahliashunt.platform.standins import Endless
from dahliashunt.platform.standins import EndlessPeer
from dahliashunt.report.fetch import fetch

MAX_SENT_BYTES = MAX_BODY_BYTES + 8_000_000
TIMEOUT_S = 20


def ask_entry(address):
    host, port = address
    url = f"http://{host}:{port}"
    Client([url], "", lambda seconds: None).get("/operator/records")


def read_file(address):
    host, port = address
    url = f"http://{host}:{port}"
    for _ in Client([url], "", lambda seconds: None).stream("/v1/files/f"):
        pass


def ask_one_node(address):
    host, port = address
    ask_node(f"{host}:{port}", "/routes")


def fetch_burn(address):
    host, port = address
    fetch(f"http://{host}:{port}", "key")


WHOLE = (ask_entry, ask_one_node, fetch_burn)
FRAMING = [
    Endless.STATUS_LINE,
    Endless.FIELD,
    Endless.FIELDS,
    Endless.INTERIM,
    Endless.CHUNK_SIZE,
    Endless.CHUNK_EXTENSION,
    Endless.CHUNK_EXTENSIONS,
    Endless.TRAILER,
    Endless.TRAILERS,
]


@pytest.mark.parametrize(
    ("ask", "endless"),
    [(ask, each) for ask in WHOLE for each in Endless]
    + [(read_file, each) for each in FRAMING],
    ids=lambda each: getattr(each, "name", None) or each.__name__,
)
def test_an_endless_answer_is_not_read(ask, endless):
    """Guards against a command that reads for as long as bytes come."""
    peer = EndlessPeer(endless)

    async def main():
        address = await peer.start()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                with pytest.raises(DahliashuntError):
                    await asyncio.to_thread(ask, address)
        finally:
            await peer.stop()

    asyncio.run(main())
    assert 1 <= peer.requests <= ROUNDS
    assert peer.sent < peer.requests * MAX_SENT_BYTES
