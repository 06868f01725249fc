"""Fixtures of the tests with crowds."""

import asyncio

import pytest

from tests.crowds.fleet import CrowdFleet


@pytest.fixture
def crowd(tmp_path):
    """Return ``run(scenario, memory_mb, fds)`` on a started fleet."""

    def run(scenario, memory_mb=128, fds=4_200):
        async def main():
            fleet = CrowdFleet(tmp_path, memory_mb, fds)
            try:
                await fleet.start()
                return await scenario(fleet)
            finally:
                await fleet.stop()

        return asyncio.run(main())

    return run
