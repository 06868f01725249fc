"""Crowds that ask an entry of the platform for answers and read none."""

import asyncio

from tests.crowds.clients import connect_many
from tests.crowds.clients import head
from tests.crowds.clients import send_all


def test_requests_sent_ahead_of_unread_answers_are_bounded(crowd):
    """Guards against answers that nobody reads and requests behind them."""

    async def scenario(fleet):
        clients = await connect_many(fleet.port, 120, receive_bytes=4_096)
        ahead = b"".join(head("/a/long", 0) for _ in range(15))
        await send_all(clients, ahead)
        await fleet.check_beside(clients)

    crowd(scenario)


def test_answers_below_the_write_mark_are_bounded(crowd):
    """Guards against short answers that nobody reads and that sum up."""

    async def scenario(fleet):
        clients = await connect_many(fleet.port, 1_500, receive_bytes=4_096)
        for client in clients:
            await client.send(head("/a/middling", 0) * 2)
        await asyncio.sleep(3)
        await fleet.check_beside(clients)

    crowd(scenario)
