"""Quotas of workspaces under random sequences of changes and lost writes."""

import asyncio
import contextlib
import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import structlog

from dahliashunt.adapters.objects.memory import MemoryObjectStore
from dahliashunt.adapters.table.memory import MemoryTableService
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import RequestError
from dahliashunt.ids import JobId
from dahliashunt.ids import NodeId
from dahliashunt.ids import WorkspaceId
from dahliashunt.jobs import Item
from dahliashunt.jobs import Job
from dahliashunt.jobs import JobLedger
from dahliashunt.jobs import JobState
from dahliashunt.jobs import JobView
from dahliashunt.jobs import Outcome
from dahliashunt.jobs import Owner
from dahliashunt.jobs.keys import quota_key
from dahliashunt.jobs.ledger import Finished

LOG = structlog.get_logger()
WORKSPACES = ("", "a", "b")
NODES = 2
CAP = 60
TOKENS = 20

NUMBERS = st.integers(0, 5)
SPACES = st.sampled_from(WORKSPACES)
NODE = st.integers(0, NODES - 1)


def make_job(number, workspace, owner):
    return Job(
        job_id=JobId(f"{workspace}-{number}"),
        route="r",
        host="h",
        items=(Item("x", TOKENS - 5), Item("y", 5)),
        payload=f"object-{number}",
        accepted_ms=0,
        accepted_by=owner,
        workspace=WorkspaceId(workspace),
    )


class Quotas(RuleBasedStateMachine):
    """Two nodes accept, resend, end, close and take over jobs.

    The tokens of the open jobs of each workspace must equal its quota row.
    """

    def __init__(self):
        super().__init__()
        self.table = MemoryTableService()
        objects = MemoryObjectStore()
        self.ledgers = []
        for number in range(NODES):
            owner = Owner(NodeId(f"n{number}"), "1")
            view = JobView(LOG)
            self.ledgers.append(
                JobLedger(self.table, objects, view, owner, LOG)
            )

    def do(self, work):
        with contextlib.suppress(RequestError, PlatformUnavailable):
            asyncio.run(work)
        self.table.drop_answers = self.table.lose_writes = 0

    @rule(node=NODE, number=NUMBERS, workspace=SPACES)
    def accept(self, node, number, workspace):
        ledger = self.ledgers[node]
        job = make_job(number, workspace, ledger.owner)
        self.do(ledger.accept(job, b"payload", CAP))

    @rule(node=NODE, number=NUMBERS, workspace=SPACES)
    def accept_without_answer(self, node, number, workspace):
        self.table.drop_answers = 1
        self.accept(node, number, workspace)

    @rule(node=NODE, number=NUMBERS, workspace=SPACES)
    def accept_that_is_lost(self, node, number, workspace):
        self.table.lose_writes = 1
        self.accept(node, number, workspace)

    @rule(
        node=NODE,
        number=NUMBERS,
        workspace=SPACES,
        state=st.sampled_from((JobState.ENDED, JobState.CLOSED)),
        answers_lost=st.integers(0, 2),
    )
    def leave_open(self, node, number, workspace, state, answers_lost):
        self.table.drop_answers = answers_lost
        job_id = JobId(f"{workspace}-{number}")
        self.do(self.ledgers[node].set_state(job_id, state))

    @rule(node=NODE, number=NUMBERS, workspace=SPACES)
    def take_over_and_list(self, node, number, workspace):
        ledger = self.ledgers[node]

        async def take():
            job = await ledger.find(JobId(f"{workspace}-{number}"), True)
            if job is None or job.state is not JobState.OPEN:
                return
            await ledger.refresh_progress(job)
            if await ledger.take_over(job):
                finished = [Finished(0, Outcome.DONE, "text")]
                await ledger.list_results(job, finished)

        self.do(take())

    @invariant()
    def held_is_what_is_open(self):
        held, open_ = asyncio.run(self._sums())
        assert held == open_

    async def _sums(self):
        held, open_ = {}, dict.fromkeys(WORKSPACES, 0)
        for workspace in WORKSPACES:
            row = await self.table.read(quota_key("r", workspace))
            held[workspace] = json.loads(row.value)["tokens"] if row else 0
            for number in range(6):
                job = await self._read(f"{workspace}-{number}")
                if job is not None and job.state is JobState.OPEN:
                    open_[workspace] += job.tokens
        return held, open_

    async def _read(self, name):
        reader = JobLedger(
            self.table, None, JobView(LOG), Owner(NodeId("r"), "1"), LOG
        )
        return await reader.find(JobId(name))


TestQuotas = Quotas.TestCase
TestQuotas.settings = settings(
    max_examples=30, stateful_step_count=25, deadline=None, derandomize=True
)
