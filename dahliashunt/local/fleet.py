"""Every role and the stand-ins in one asyncio process."""

import asyncio
import contextlib
import hashlib
import random

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.adapters.table import HttpTableService
from dahliashunt.agent.serve import serve as serve_agent
from dahliashunt.agent.settings import AgentSettings
from dahliashunt.agent.settings import BackEnd
from dahliashunt.decisions.entry_policy import EntryPolicy
from dahliashunt.entry.serve import Entry
from dahliashunt.entry.settings import AgentAddress
from dahliashunt.entry.settings import EntrySettings
from dahliashunt.entry.settings import HttpSettings
from dahliashunt.entry.settings import Platform
from dahliashunt.records import Proposal
from dahliashunt.records import read_documents
from dahliashunt.records import RecordStore
from dahliashunt.records import Schemas
from dahliashunt.standins import create_app
from dahliashunt.standins import serve as serve_standin

__all__ = ["KEY", "MODEL", "serve_local"]

KEY = "local"
MODEL = "repair-notes"
DATA_CENTRE = "local"
READY_LOOK_MS = 10

# A crashing request must not end the process in which all roles run.
_ENGINE_OPTIONS = {"models": MODEL, "base_ms": 10, "crash": "restart"}

_DECISIONS = EntryPolicy(limit_initial=64, default_service_ms=200)
# At a desk the first thing tried is often a burst. An entry that knows
# nothing yet starts from 8 at a time and 2 s each, and refuses 31 of 40
# streams of 0.5 s that its one engine could serve at once.

_RECORDS = """
schema_version: 1
kind: Model
name: {model}
spec: {{versions: [v1], max_tokens: 8192}}
---
schema_version: 2
kind: Caller
name: local
spec:
  keys: [{{id: local, sha256: {key}}}]
  permissions: {{models: ["*"], services: ["*"], batch: true}}
"""


async def serve_local(port: int, signals, log, ready) -> None:
    """Serve the whole system on one port of the loopback address.

    Parameters
    ----------
    port : int
        For callers and operators; 0 takes a free one.
    signals : Signals
    log : structlog logger
    ready : callable
        Called with the port once requests are served.
    """
    async with contextlib.AsyncExitStack() as stack:
        url_by_role = {}
        for role, options in (
            ("table", {}),
            ("objects", {}),
            ("engine", _ENGINE_OPTIONS),
        ):
            app = create_app(role, options)
            url_by_role[role] = await stack.enter_async_context(
                serve_standin(app)
            )
        await _write_records(url_by_role["table"])
        agent_ready = asyncio.get_running_loop().create_future()
        agent = asyncio.create_task(
            serve_agent(
                _agent_settings(url_by_role),
                signals,
                log,
                agent_ready.set_result,
            )
        )
        await asyncio.wait(
            {agent, agent_ready}, return_when=asyncio.FIRST_COMPLETED
        )
        settings = _entry_settings(url_by_role, port, agent_ready.result())
        entry = Entry(settings, log)
        async with asyncio.TaskGroup() as group:
            group.create_task(
                entry.run(
                    signals,
                    lambda port: group.create_task(
                        _ready_once_linked(entry, port, ready)
                    ),
                )
            )
        await agent


async def _ready_once_linked(entry, port, ready):
    """Call `ready` once a first request would be answered."""
    while not entry.is_serving:
        await entry.clock.sleep_ms(READY_LOOK_MS)
    ready(port)


async def _write_records(table_url):
    table = HttpTableService(table_url)
    store = RecordStore(table, SystemClock(), random.Random())
    text = _RECORDS.format(
        model=MODEL, key=hashlib.sha256(KEY.encode()).hexdigest()
    )
    documents = read_documents(text, Schemas())
    await store.apply(Proposal("local-first", "local", documents))
    await table.close()


def _agent_settings(url_by_role):
    return AgentSettings(
        node_id="agent-1",
        endpoint_id="endpoint-1",
        data_centre=DATA_CENTRE,
        back_end=BackEnd(url=url_by_role["engine"]),
        table_url=url_by_role["table"],
    )


def _entry_settings(url_by_role, port, agent_port):
    return EntrySettings(
        decisions=_DECISIONS,
        node_id="entry-1",
        data_centre=DATA_CENTRE,
        http=HttpSettings(port=port),
        platform=Platform(
            table_url=url_by_role["table"],
            objects_url=url_by_role["objects"],
        ),
        agents=(
            AgentAddress("endpoint-1", "127.0.0.1", agent_port, DATA_CENTRE),
        ),
        operator_key_sha256=hashlib.sha256(KEY.encode()).hexdigest(),
    )
