"""A crowd at the program that runs all roles."""

import asyncio
import json

from tests.crowds.clients import connect_many
from tests.crowds.clients import is_served
from tests.crowds.clients import send_all
from tests.crowds.clients import send_once
from tests.crowds.processes import check_limits
from tests.crowds.processes import MB
from tests.crowds.processes import Program

MEMORY = 256 * MB
DESCRIPTORS = 1_000
BODY_BYTES = 4_000_000
START_S = 30


def request(body, size):
    """Return a request whose head states `size` bytes of a body."""
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: 127.0.0.1",
        "Authorization: Bearer local",
        "Content-Type: application/json",
        f"Content-Length: {size}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def test_a_crowd_leaves_room_for_an_ordinary_caller(tmp_path):
    """Guards against unfinished bodies that fill the memory."""
    messages = [{"role": "user", "content": "hi"}]
    fields = {"model": "repair-notes", "max_tokens": 4, "messages": messages}
    body = json.dumps(fields).encode()
    ordinary = request(body, len(body))

    async def main():
        module = ["-m", "dahliashunt.local.main", "--port", "0"]
        program = Program(tmp_path, "local", module)
        await program.start()
        try:
            async with asyncio.timeout(START_S):
                while "ready " not in program.text():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
            line = program.text().partition("ready ")[2].split()[0]
            port = int(line.rsplit(":", 1)[1])
            assert is_served(await send_once(port, ordinary))
            clients = await connect_many(port, 90)
            unfinished = request(b"x" * (BODY_BYTES - 1), BODY_BYTES)
            await send_all(clients, unfinished)
            assert is_served(await send_once(port, ordinary))
            check_limits(program.pid, MEMORY, DESCRIPTORS)
            for client in clients:
                client.leave()
            await asyncio.sleep(0.3)
            assert is_served(await send_once(port, ordinary))
            assert program.is_alive
            check_limits(program.pid, MEMORY, DESCRIPTORS)
        finally:
            await program.stop()

    asyncio.run(main())
