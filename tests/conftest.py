"""Fixtures shared by the tests of the whole system."""

import asyncio
import pathlib
import threading

import pytest
import structlog

from dahliashunt.local.fleet import serve_local
from dahliashunt.process import Signals

READY_WITHIN_S = 30
CROWDS = pathlib.Path(__file__).parent / "crowds"


class LocalServer:
    """dahliashunt-local in a thread, for clients that block."""

    def __init__(self):
        self.url = None
        self._loop = None
        self._signals = None
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def start(self):
        self._thread.start()
        assert self._ready.wait(READY_WITHIN_S), "local server is not ready"
        return self

    def _run(self):
        asyncio.run(self._serve())

    async def _serve(self):
        self._loop = asyncio.get_running_loop()
        self._signals = Signals()
        await serve_local(
            0, self._signals, structlog.get_logger(), self._is_ready
        )

    def _is_ready(self, port):
        self.url = f"http://127.0.0.1:{port}"
        self._ready.set()

    def stop(self):
        self._loop.call_soon_threadsafe(self._signals.leave.set)
        self._thread.join(READY_WITHIN_S)


def pytest_collection_modifyitems(items):
    """Run crowds after all other tests."""
    items.sort(key=lambda item: CROWDS in item.path.parents)


@pytest.fixture(scope="session")
def local_server():
    server = LocalServer().start()
    yield server
    server.stop()
