"""Claims: a request marked as non-idempotent runs at most once.

The entry that dispatches such a request first writes a claim, one row a
workspace and key, by one transaction that demands the row's absence. A
resend to any entry finds the row and gets what it says; nobody dispatches
twice.
"""

from dataclasses import dataclass
from dataclasses import replace

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import PlatformError
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ids import AttemptId
from dahliashunt.ids import CallerId
from dahliashunt.online.claim import Claim
from dahliashunt.online.claim import ClaimState
from dahliashunt.online.claim import ended
from dahliashunt.online.claim import judge
from dahliashunt.online.claim import Outcome
from dahliashunt.online.claim import row_key
from dahliashunt.online.claim import Verdict
from dahliashunt.online.pending_ends import PendingEnds
from dahliashunt.ports.clock import Clock
from dahliashunt.ports.objects import ObjectStore
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import TableService
from dahliashunt.ports.table import Write

__all__ = ["Claims", "Replay"]

_TRIES = 3
_RETRY_MS = 50
_RETRY_AFTER_MS = 2_000
_MAX_INLINE = 8 * 1024
_HOUR_MS = 3_600_000
_SETTLE_MS = 500
_EXPIRE_PAGE = 200


@dataclass(frozen=True, slots=True)
class Replay:
    """The stored answer of an earlier dispatch of the same request."""

    outcome: Outcome


class Claims:
    """Claims in the table service.

    Parameters
    ----------
    table, objects, clock
        Ports.
    max_inline : int
        Largest body kept in the row; larger ones go to the object store.
    stale_ms : int
        Longer than any dispatch may take.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        max_inline: int = _MAX_INLINE,
        stale_ms: int = _HOUR_MS,
    ):
        self._table = table
        self._objects = objects
        self._clock = clock
        self._max_inline = max_inline
        self._stale_ms = stale_ms
        self._pending = PendingEnds(clock)

    async def claim(
        self,
        workspace: CallerId,
        key: str,
        digest: str,
        attempt_id: AttemptId,
    ) -> Claim | Replay:
        """Claim a request before its one dispatch.

        Parameters
        ----------
        digest : str
            Of method, path and body: a key stands for one request.

        Returns
        -------
        claim : Claim or Replay
            A claim: dispatch once, then call `done`, `unknown` or
            `release`. A replay: answer with that, and dispatch nothing.

        Raises
        ------
        RequestError
            It must not be dispatched; the error says why, and what can be
            said of whether the request ran.
        """
        wanted = Claim(
            row_key(workspace, key),
            digest,
            attempt_id,
            ClaimState.CLAIMED,
            self._clock.wall_ms(),
        )
        unsure = False
        for _ in range(_TRIES):
            try:
                return await self._claim(wanted)
            except WriteOutcomeUnknown:
                unsure = True
            except TransactionConflict:
                pass
            except PlatformUnavailable:
                break
            await self._clock.sleep_ms(_RETRY_MS)
        if unsure:
            # The claim may be there, or arrive late, though nothing is
            # dispatched under it. Left so, every resend would be told
            # that it still runs.
            self._pending.keep(wanted, ClaimState.RELEASED, never_sent=True)
        raise RequestError(
            ErrorKind.STORE_UNAVAILABLE,
            "a request that may run only once needs the store, which is out",
            Ran.NO,
            _RETRY_AFTER_MS,
        )

    async def _claim(self, wanted):
        """Write the claim, or read the one that is there.

        A write whose answer was lost is settled by the next try's read:
        the claim is this request's if it carries its attempt id.
        """
        found = await self._read(wanted.key)
        never_sent = self._pending.has_never_sent(found)
        verdict = judge(found, wanted, self._stale_ms, never_sent)
        if verdict is Verdict.REPLAY:
            return Replay(await self._outcome(found))
        if verdict not in (Verdict.RUN, Verdict.TAKE_OVER):
            raise _refusal(verdict)
        if found is not None and verdict is Verdict.RUN:
            return found
        expect = MustBe.ABSENT if found is None else found.version
        write = Write(wanted.key, wanted.to_value(), expect)
        versions = await self._table.transact((write,))
        return replace(wanted, version=versions[0])

    async def done(self, claim: Claim, outcome: Outcome) -> bool:
        """Keep the answer of a dispatch, for resends.

        Returns
        -------
        kept : bool
            Whether the store has it. If not, `run` goes on trying, and
            resends hear until then that the request is still running.
        """
        return await self._end(claim, ClaimState.DONE, outcome)

    async def unknown(self, claim: Claim) -> bool:
        """Note that nobody can know whether the dispatch ran."""
        return await self._end(claim, ClaimState.UNKNOWN, None)

    async def release(self, claim: Claim) -> bool:
        """Let a resend run: the dispatch was proved not to have run."""
        return await self._end(claim, ClaimState.RELEASED, None)

    async def run(self) -> None:
        """Settle what the store did not take, until cancelled."""
        while True:
            await self._clock.sleep_ms(_SETTLE_MS)
            for pending in self._pending:
                try:
                    over = await self._settle_pending(pending)
                except PlatformError:
                    break
                if over:
                    self._pending.drop(pending)

    async def expire(self, workspace: CallerId, before_ms: int) -> int:
        """Delete a page of claims that ended before a wall time.

        Returns
        -------
        deleted : int

        Notes
        -----
        A key can run its request again once its claim is gone, so
        `before_ms` must lie further back than any client resends. A claim
        without an end is kept: it may still be running.
        """
        start = row_key(workspace, "")
        end = start[:-1] + chr(ord("/") + 1)
        rows = await self._table.read_range(start, end, _EXPIRE_PAGE)
        old = [
            claim
            for claim in map(Claim.from_row, rows)
            if claim.state is not ClaimState.CLAIMED
            and claim.since_ms < before_ms
        ]
        for claim in old:
            write = Write(claim.key, None, claim.version)
            await self._table.transact((write,))
            if claim.stored:
                await self._objects.delete(claim.stored)
        return len(old)

    async def _read(self, key):
        row = await self._table.read(key)
        return None if row is None else Claim.from_row(row)

    async def _outcome(self, claim):
        body = claim.body.encode("latin-1")
        if claim.stored:
            body = await self._objects.get(claim.stored)
            if body is None:
                raise PlatformUnavailable(claim.stored)
        return Outcome(claim.status, claim.headers, body)

    async def _end(self, claim, state, outcome):
        for _ in range(_TRIES):
            try:
                await self._write_end(claim, state, outcome)
                return True
            except PlatformError:
                await self._clock.sleep_ms(_RETRY_MS)
        self._pending.keep(claim, state, outcome)
        return False

    async def _write_end(self, claim, state, outcome):
        """Write an end on condition that the claim is as it was made.

        A conflict proves that an earlier try of the same end was written:
        nobody else changes a claim that is being run.
        """
        stored = ""
        if outcome is not None and len(outcome.body) > self._max_inline:
            stored = f"claims/{claim.attempt_id}"
            await self._objects.put(stored, outcome.body)
        final = ended(claim, state, outcome, stored)
        write = Write(claim.key, final.to_value(), claim.version)
        try:
            await self._table.transact((write,))
        except TransactionConflict:
            return

    async def _settle_pending(self, pending):
        """Try once more; return whether that is settled."""
        claim = pending.claim
        if pending.never_sent:
            found = await self._read(claim.key)
            if found is None:
                # The claim's write may still be on its way.
                return self._clock.now_ms() >= pending.until_ms
            if found.attempt_id != claim.attempt_id:
                return True
            claim = found
        await self._write_end(claim, pending.state, pending.outcome)
        return True


_REFUSAL_BY_VERDICT = {
    Verdict.STILL_RUNNING: (
        ErrorKind.STILL_RUNNING,
        "the request with this key is still running",
        Ran.UNKNOWN,
        _RETRY_AFTER_MS,
    ),
    Verdict.OUTCOME_UNKNOWN: (
        ErrorKind.OUTCOME_UNKNOWN,
        "the request with this key may have run; it is not run again",
        Ran.UNKNOWN,
        None,
    ),
    Verdict.KEY_REUSED: (
        ErrorKind.KEY_REUSED,
        "the key was used for another request; this one did not run",
        Ran.NO,
        None,
    ),
}


def _refusal(verdict):
    return RequestError(*_REFUSAL_BY_VERDICT[verdict])
