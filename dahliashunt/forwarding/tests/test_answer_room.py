"""Turns of long responses."""

import asyncio

import pytest

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.forwarding.answer_room import AnswerRoom
from dahliashunt.forwarding.answer_room import COPIES
from dahliashunt.forwarding.answer_room import FREE_BYTES

LONG = 10 * FREE_BYTES


@pytest.fixture
def hold_all():
    """Return ``run(sizes, unread)``: the order of ends, the most held."""

    def run(sizes, unread=lambda: 0):
        async def main():
            room = AnswerRoom(3 * COPIES * LONG, unread, SystemClock())
            ended, most = [], 0

            async def one(number, size):
                nonlocal most
                async with room.hold(size):
                    most = max(most, room.reserved_bytes)
                    await asyncio.sleep(0.01)
                ended.append(number)

            async with asyncio.timeout(10):
                await asyncio.gather(
                    *(one(number, size) for number, size in enumerate(sizes))
                )
            assert room.reserved_bytes == 0
            return ended, most

        return asyncio.run(main())

    return run


def test_long_responses_take_turns(hold_all):
    """Guards against many long responses at once that nobody reads."""
    ended, most = hold_all([LONG] * 9)
    assert most == 3 * COPIES * LONG
    assert sorted(ended) == list(range(9))


def test_one_long_response_is_let_in_whatever_is_unread(hold_all):
    """Guards against responses that wait for each other for ever."""
    ended, most = hold_all([LONG] * 3, unread=lambda: 100 * LONG)
    assert sorted(ended) == [0, 1, 2]
    assert most == COPIES * LONG


def test_growing_responses_are_bounded_and_all_end():
    # Guards against bodies without a length that fill the memory, and calls
    # that wait for each other's memory for ever.
    async def main():
        bound = 3 * COPIES * LONG
        room = AnswerRoom(bound, lambda: 0, SystemClock())
        ended, most = 0, 0

        async def grow_to(size):
            nonlocal ended, most
            with room.growing() as hold:
                for part in range(0, size, FREE_BYTES // 2):
                    await hold.grow(part)
                    most = max(most, room.reserved_bytes)
                    await asyncio.sleep(0.001)
            ended += 1

        async with asyncio.timeout(20):
            await asyncio.gather(*(grow_to(LONG) for _ in range(12)))
        assert ended == 12
        assert room.reserved_bytes == 0
        assert most <= bound + 2 * COPIES * LONG

    asyncio.run(main())


def test_short_responses_never_wait_for_a_grown_one():
    """Guards against short responses held up by long ones."""

    async def main():
        room = AnswerRoom(COPIES * FREE_BYTES, lambda: 0, SystemClock())
        with room.growing() as long, room.growing() as short:
            await long.grow(LONG)
            async with asyncio.timeout(1):
                await short.grow(FREE_BYTES)
            assert short.reserved_bytes == 0

    asyncio.run(main())
