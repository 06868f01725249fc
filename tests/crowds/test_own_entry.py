"""Crowds at the product's own entry."""

import asyncio
import contextlib
import json
import ssl

import pytest
import trustme

from tests.crowds.clients import connect
from tests.crowds.clients import connect_many
from tests.crowds.clients import is_served
from tests.crowds.clients import refusals
from tests.crowds.clients import send_all
from tests.crowds.clients import send_once
from tests.crowds.processes import check_limits
from tests.crowds.processes import MB
from tests.harness.fleet import Fleet
from tests.harness.fleet import KEY
from tests.harness.fleet import OPERATOR_KEY
from tests.harness.fleet import RECORDS

MEMORY = 160 * MB
DESCRIPTORS = 400
AGENT_MEMORY = 128 * MB
AGENT_DESCRIPTORS = 250
BODY_BYTES = 4_000_000
START_S = 30
CHAT = "/v1/chat/completions"
STOPPED_SHORT = {
    "a completion": (CHAT, KEY, BODY_BYTES),
    "a file": ("/v1/files", KEY, 8 * BODY_BYTES),
    "an operator's call": ("/operator/records", OPERATOR_KEY, 2 * BODY_BYTES),
}


def request(path, body, key=KEY, size=None, kind="application/json"):
    """Return a request whose head states `size` bytes of a body."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: 127.0.0.1",
        f"Authorization: Bearer {key}",
        f"Content-Type: {kind}",
        f"Content-Length: {len(body) if size is None else size}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def completion(text="one two", **changed):
    """Return an ordinary request."""
    messages = [{"role": "user", "content": text}]
    fields = {"model": "repair-notes", "max_tokens": 4, "messages": messages}
    return request(CHAT, json.dumps({**fields, **changed}).encode())


class OwnEntry:
    """An entry with an agent, an engine and the platform's services."""

    def __init__(self, folder, options):
        self._fleet = Fleet(folder)
        self._options = options
        self.process = None
        self.agent = None

    async def start(self, between=None):
        """Start all, the entry after the coroutine `between`."""
        fleet = self._fleet
        await fleet.start_standin("table", "table", {})
        await fleet.start_standin("objects", "objects", {})
        await fleet.start_standin(
            "engine", "engine", {"models": "repair-notes"}
        )
        await fleet.start_agent("agent", "engine", {})
        self.agent = fleet.process_by_name["agent"]
        if between is not None:
            await between()
        await fleet.start_entry("entry", ["agent"], dict(self._options))
        self.process = fleet.process_by_name["entry"]
        status, body = await fleet.apply(
            "entry", RECORDS.read_text(), "crowd-records"
        )
        assert status < 300, body

    async def serves(self, data=None, context=None):
        """Return whether one ordinary request is served at once."""
        data = data or completion()
        reply = await send_once(self.process.port, data, ssl_context=context)
        if not is_served(reply):
            print(reply, self.process.lines[-10:])
        return is_served(reply)

    async def until_served(self, context=None):
        """Wait until the records are in force and the agent is linked."""
        async with asyncio.timeout(START_S):
            while not await self.serves(context=context):  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    def check(self):
        """Check that the entry lives within its limits."""
        assert self.process.is_running
        check_limits(self.process.pid, MEMORY, DESCRIPTORS)
        assert not any("Traceback" in str(line) for line in self.process.lines)

    async def check_without(self, clients):
        """Close the crowd's connections; check what is left."""
        for client in clients:
            client.leave()
        await asyncio.sleep(0.3)
        assert await self.serves()
        self.check()

    async def stop(self):
        """End what was started."""
        await self._fleet.close()


@pytest.fixture
def own_entry(tmp_path):
    """Return ``run(scenario)`` on a started entry with small limits."""

    def run(scenario, **options):
        limits = {
            "limits.memory": f"{MEMORY // MB}MB",
            "limits.descriptors": str(DESCRIPTORS),
        }

        async def main():
            entry = OwnEntry(tmp_path, {**limits, **options})
            try:
                await entry.start()
                await entry.until_served()
                await scenario(entry)
            finally:
                await entry.stop()

        asyncio.run(main())

    return run


@pytest.mark.parametrize("what", STOPPED_SHORT)
def test_bodies_that_stop_short_yield_to_ordinary_callers(own_entry, what):
    """Guards against unfinished bodies that fill the memory."""
    path, key, size = STOPPED_SHORT[what]
    kind = "application/json"
    body = b"x" * (size - 1)
    if what == "a file":
        kind = 'multipart/form-data; boundary="b"'
        part = b'--b\r\nContent-Disposition: form-data; name="file"; '
        part += b'filename="f"\r\n\r\n'
        body = part + (b'{"body": {"model": "m"}}\n' * size)[: size - 500]

    async def scenario(entry):
        clients = await connect_many(entry.process.port, 60)
        await send_all(clients, request(path, body, key, size, kind))
        for reply in await refusals(clients):
            assert reply.status == 503
            assert int(reply.header_by_name["retry-after"]) > 0
            assert reply.header_by_name["x-request-id"]
            assert json.loads(reply.body)["error"]["ran"] == "no"
        for _ in range(3):
            assert await entry.serves()
        entry.check()
        await entry.check_without(clients)

    own_entry(scenario)


def test_a_body_of_many_values_is_not_parsed(own_entry):
    """Guards against JSON that takes many times its bytes once parsed."""

    async def scenario(entry):
        values = b",".join([b"[]"] * (BODY_BYTES // 3 - 100))
        body = b'{"model": "repair-notes", "messages": [' + values + b"]}"
        reply = await send_once(entry.process.port, request(CHAT, body))
        assert reply is None or 400 <= reply.status < 600
        assert await entry.serves()
        entry.check()

    own_entry(scenario)


@pytest.mark.parametrize(
    "sent",
    [b"", completion()[:40], completion()[:-2]],
    ids=["nothing", "a part of a head", "a part of a body"],
)
def test_open_connections_are_bounded(own_entry, sent):
    """Guards against clients that take all descriptors and stay."""

    async def scenario(entry):
        clients = await connect_many(entry.process.port, 500)
        for client in clients:
            await client.send(sent)
        await asyncio.sleep(1)
        for _ in range(3):
            assert await entry.serves()
        entry.check()
        await entry.check_without(clients)

    own_entry(scenario)


def test_unfinished_tls_handshakes_are_bounded(own_entry, tmp_path):
    """Guards against clients that begin a handshake and stay."""
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    chain, key = tmp_path / "chain.pem", tmp_path / "key.pem"
    chain.write_bytes(
        b"".join(each.bytes() for each in certificate.cert_chain_pems)
    )
    key.write_bytes(certificate.private_key_pem.bytes())
    context = ssl.create_default_context()
    authority.configure_trust(context)

    async def main():
        options = {
            "limits.memory": f"{MEMORY // MB}MB",
            "limits.descriptors": str(DESCRIPTORS),
            "http.tls.certificate": str(chain),
            "http.tls.key": str(key),
        }
        entry = OwnEntry(tmp_path, options)
        try:
            with contextlib.suppress(Exception):
                # The records are applied over plaintext by the harness.
                await entry.start()
            await asyncio.sleep(0.5)
            clients = await connect_many(entry.process.port, 500)
            for client in clients[::2]:
                await client.send(b"\x16\x03\x01\x02\x00\x01")
            await asyncio.sleep(1)
            for _ in range(3):
                reply = await send_once(
                    entry.process.port, completion(), ssl_context=context
                )
                # Without records no key is known.
                assert reply is not None
            entry.check()
            for client in clients:
                client.leave()
            await asyncio.sleep(0.3)
            client = await connect(entry.process.port, ssl_context=context)
            for _ in range(2):
                await client.send(completion())
                assert await client.reply() is not None
            client.leave()
            entry.check()
        finally:
            await entry.stop()

    asyncio.run(main())


def test_a_body_at_the_limit_is_served(own_entry):
    """Guards against a bound below what one request may hold."""

    async def scenario(entry):
        text = "x" * (BODY_BYTES - 1_000)
        reply = await send_once(entry.process.port, completion(user=text))
        assert is_served(reply), reply
        entry.check()

    own_entry(scenario)


@pytest.mark.parametrize(
    "sent", [b"", b"\x00\xf0\x00\x00" + b"x" * 400_000], ids=["none", "frame"]
)
def test_a_crowd_at_an_agent_leaves_room_for_an_entry(tmp_path, sent):
    """Guards against peers without a greeting that fill an agent."""

    async def main():
        entry = OwnEntry(tmp_path, {})
        clients = []

        async def arrive():
            clients.extend(await connect_many(entry.agent.port, 500))
            await send_all(clients, sent)

        try:
            await entry.start(arrive)
            await entry.until_served()
            assert entry.agent.is_running
            check_limits(entry.agent.pid, AGENT_MEMORY, AGENT_DESCRIPTORS)
            for client in clients:
                client.leave()
            await asyncio.sleep(0.3)
            assert await entry.serves()
            check_limits(entry.agent.pid, AGENT_MEMORY, AGENT_DESCRIPTORS)
        finally:
            await entry.stop()

    asyncio.run(main())
