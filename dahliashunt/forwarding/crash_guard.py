"""Hold back requests that crash the replicas that run them.

A request is known by its own digest and by the parts of its prompt. What runs
were lost is shared by all entries; which part of a lost request is held back
also depends on what this entry has served.
"""

import asyncio
from dataclasses import dataclass

from dahliashunt.decisions.loss_counts import EXPIRY_MS
from dahliashunt.decisions.loss_counts import MAX_DIGESTS
from dahliashunt.decisions.loss_counts import Permission
from dahliashunt.decisions.owed_trials import MAX_UNDOUBTED_TRIALS
from dahliashunt.decisions.owed_trials import owed_wait_ms
from dahliashunt.decisions.prompt_parts import is_held_back
from dahliashunt.decisions.prompt_parts import PartHistory
from dahliashunt.forwarding.left_runs import LeftRuns
from dahliashunt.forwarding.losses import Admission
from dahliashunt.forwarding.losses import part_fingerprint
from dahliashunt.forwarding.losses import SharedLosses
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.ids import Fingerprint
from dahliashunt.ports import Clock

__all__ = ["CrashGuard", "CrashKeys", "RunPermit", "crash_keys"]

FOLLOW_MS = 100
"""Interval between looks at runs that were left, and at kept trials."""

UNDECIDED_MS = 300
"""Time beyond that of the longest lost run after which a trial that was left
seems not to have crashed its replica."""

MAX_UNDECIDED_MS = 5_000
"""Longest time for which a trial that was left holds up others."""

MAX_REQUESTS = 2_000
"""Requests whose share of what is served is known; a popular one is among the
first."""

MAX_CAUSES = 8
"""Losses to different causes after which a popular request is spared no
longer."""


@dataclass(frozen=True, slots=True)
class CrashKeys:
    """What a request's losses are counted under.

    Attributes
    ----------
    request : Fingerprint
    parts : tuple of Fingerprint
        The parts that it shares with others, at its service.
    longest_wait_ms : int
        Bounds each wait of a batch item, which is owed whatever was lost
        with it.
    service : str
    """

    request: Fingerprint
    parts: tuple[Fingerprint, ...]
    longest_wait_ms: int = EXPIRY_MS
    service: str = ""


@dataclass(frozen=True, slots=True)
class RunPermit:
    """Permission to send a request to a replica once.

    Attributes
    ----------
    keys : CrashKeys
    admissions : tuple of Admission
        One for each of the keys under which it may be held back.
    began_ms : int
        Time by this entry's clock from which it may run.
    """

    keys: CrashKeys
    admissions: tuple[Admission, ...]
    began_ms: int

    @property
    def is_trial(self) -> bool:
        """Whether it is for a suspect's only run."""
        return any(each.trial is not None for each in self.admissions)


def crash_keys(
    request: Fingerprint,
    service: str,
    parts: tuple[str, ...],
    longest_wait_ms: int = EXPIRY_MS,
) -> CrashKeys:
    """Return the keys of a request at a service.

    Parameters
    ----------
    request : Fingerprint
    service : str
    parts : tuple of str
        Ids of the parts that it shares with others.
    longest_wait_ms : int
        Bounds each wait of a batch item.
    """
    found = (part_fingerprint(service, part) for part in parts)
    digests = tuple(dict.fromkeys(found))
    return CrashKeys(request, digests, longest_wait_ms, service)


class CrashGuard:
    """Tells which requests may be sent to replicas.

    Parameters
    ----------
    losses : SharedLosses
    clock : Clock
    left_runs : LeftRuns, optional
        Follows the runs that this entry leaves; by default no replica is
        known to end.
    ended_since : callable
        Given a time and a service, returns the incarnations of its replicas
        that have ended without a notice since.
    """

    def __init__(
        self,
        losses: SharedLosses,
        clock: Clock,
        left_runs: LeftRuns | None = None,
        ended_since=lambda from_ms, service: set(),
    ):
        self._losses = losses
        self._clock = clock
        self._ended_since = ended_since
        self._left_runs = left_runs
        if left_runs is None:
            self._left_runs = LeftRuns(clock)
        self._has_work = asyncio.Event()
        self._history = PartHistory()
        self._requests = PartHistory(MAX_REQUESTS)
        # Served requests of any kind before a digest's first loss.
        self._served_before_by_digest: dict[Fingerprint, int] = {}

    def is_quarantined(self, keys: CrashKeys) -> bool:
        """Return whether the request must not be sent for some time."""
        return Permission.QUARANTINED in self._permissions(keys)

    def must_wait(self, keys: CrashKeys) -> bool:
        """Return whether a trial, whose end is near, decides on it.

        Also for as long as the store is not asked for a trial.
        """
        permissions = self._permissions(keys)
        if Permission.TRIAL in permissions and not self._losses.may_claim():
            return True
        return Permission.ON_TRIAL in permissions

    def _permissions(self, keys):
        return {
            self._losses.permission(digest, self._wait_ms(keys, digest))
            for digest in self._held_back(keys)
        }

    def _wait_ms(self, keys, digest):
        """Return the longest wait for the next trial of one of the keys."""
        if digest == keys.request or keys.longest_wait_ms >= EXPIRY_MS:
            return keys.longest_wait_ms
        lost_trials = self._losses.lost_trials(digest)
        if lost_trials < MAX_UNDOUBTED_TRIALS:
            return keys.longest_wait_ms
        return owed_wait_ms(
            lost_trials,
            self._losses.losses(digest),
            self._other_ends(keys.service, digest),
            keys.longest_wait_ms,
        )

    def _other_ends(self, service, digest):
        """Return how many replicas ended that lost no run with a part."""
        lost = self._losses.runs(digest)
        if not lost:
            return 0
        age_ms = self._losses.now_ms() - lost[0].lost_ms
        from_ms = self._clock.now_ms() - age_ms
        ended = {
            f"{replica_id}@{born_ms}"
            for replica_id, born_ms in self._ended_since(from_ms, service)
        }
        return len(ended - {run.replica for run in lost})

    async def admit(self, keys: CrashKeys) -> RunPermit | None:
        """Return permission to send the request now, or None.

        The run is the fleet's only one if it is a suspect's. The permit is
        to be given back to one of the methods that tell how the run ended.
        """
        if self.is_quarantined(keys):
            return None
        admissions = []
        for digest in self._held_back(keys):
            wait_ms = self._wait_ms(keys, digest)
            try:
                admission = await self._losses.admit(digest, wait_ms)
            except BaseException:
                self._keep(admissions)
                raise
            if admission is None:
                self._keep(admissions)
                return None
            admissions.append(admission)
        return RunPermit(keys, tuple(admissions), self._clock.now_ms())

    def _keep(self, admissions):
        for admission in admissions:
            self._losses.keep(admission)
        if self._losses.keeps_trials:
            self._has_work.set()

    def ended_unharmed(self, permit: RunPermit) -> None:
        """Note a run that did not begin, or that ended with an error.

        Its replica goes on, but this is no proof that the request is sound.
        """
        self._keep(permit.admissions)

    def lost(
        self,
        permit: RunPermit,
        request_id: str,
        replica: Replica,
        has_progress: bool = False,
    ) -> None:
        """Count a request that was lost with its replica.

        Parameters
        ----------
        permit : RunPermit
        request_id : str
        replica : Replica
        has_progress : bool
            Whether the next run goes on after what this one has written, so
            that only the prompt's parts are counted.
        """
        if has_progress:
            request = permit.keys.request
            self._keep(
                each for each in permit.admissions if each.digest == request
            )
            self._count_parts(permit, request_id, replica)
        else:
            self._count(permit, request_id, replica)
        for run in self._left_runs.take_at(replica.incarnation):
            self._count_left(run)

    def left(
        self, permit: RunPermit, request_id: str, replica: Replica
    ) -> None:
        """Follow a run that this entry leaves to its replica."""
        self._left_runs.add(permit, request_id, replica)
        self._has_work.set()

    async def follow(self) -> None:
        """Count runs that were left and then crashed, until cancelled.

        Trials that showed nothing are taken back after a while.
        """
        while True:
            if not (self._left_runs or self._losses.keeps_trials):
                self._has_work.clear()
                await self._has_work.wait()
            await self._clock.sleep_ms(FOLLOW_MS)
            self._losses.take_back_old()
            for run in self._left_runs.take_crashed():
                self._count_left(run)
            for run in self._left_runs.undecided():
                self._decide(run)

    def _decide(self, run):
        """Take back a left trial that lasts longer than the lost runs."""
        trials = [each for each in run.permit.admissions if each.trial]
        longest_ms = max(
            (self._losses.longest_ms(each.digest) for each in trials),
            default=0,
        )
        age_ms = self._clock.now_ms() - run.permit.began_ms
        if age_ms >= min(MAX_UNDECIDED_MS, longest_ms + UNDECIDED_MS):
            run.is_decided = True
            for admission in trials:
                self._losses.take_back(admission)

    def _count_left(self, run):
        self._count(run.permit, run.request_id, run.replica)

    def _count(self, permit, request_id, replica):
        self._losses.lost(
            permit.keys.request,
            request_id,
            permit.began_ms,
            replica=_incarnation_name(replica),
        )
        self._note_loss(permit.keys.request)
        self._count_parts(permit, request_id, replica)

    def _count_parts(self, permit, request_id, replica):
        parts = permit.keys.parts
        for part in parts:
            self._losses.lost(
                part,
                request_id,
                permit.began_ms,
                beside=frozenset(parts) - {part},
                replica=_incarnation_name(replica),
            )
            self._note_loss(part)

    def served(self, keys: CrashKeys) -> None:
        """Clear the losses of a request that was served, and of its parts."""
        now_ms = self._clock.now_ms()
        self._history.note_served(now_ms, keys.parts)
        self._requests.note_served(now_ms, (keys.request,))
        for digest in (keys.request, *keys.parts):
            self._losses.served(digest)
            self._served_before_by_digest.pop(digest, None)

    def losses(self, keys: CrashKeys) -> int:
        """Return the most crashes of the request or of a part."""
        return max(map(self._losses.losses, (keys.request, *keys.parts)))

    def _held_back(self, keys):
        """Yield the request, and the parts that may be the guilty ones."""
        if self._is_request_held_back(keys.request):
            yield keys.request
        for part in keys.parts:
            if self._losses.permission(part) is Permission.ALLOWED:
                continue
            beside = self._losses.beside(part) or ()
            others = self._served_since(part)
            if is_held_back(part, beside, others, self._history):
                yield part

    def _is_request_held_back(self, digest):
        """Return whether a request may crash replicas.

        One that is a large share of all that is served is spared for as long
        as its losses may be those of a rack: few others were served since.
        """
        if self._losses.permission(digest) is Permission.ALLOWED:
            return False
        others = self._served_since(digest)
        return (
            is_held_back(digest, (), others, self._requests)
            or self._losses.causes(digest) >= MAX_CAUSES
        )

    def _note_loss(self, digest):
        """Note what was served before the first loss."""
        before = self._served_before_by_digest
        if self._losses.losses(digest) == 1:
            before.pop(digest, None)
        self._served_since(digest)
        if len(before) > MAX_DIGESTS:
            del before[next(iter(before))]

    def _served_since(self, digest):
        """Return how many requests were served since the first loss."""
        now = self._history.total_ever
        return now - self._served_before_by_digest.setdefault(digest, now)


def _incarnation_name(replica):
    return f"{replica.replica_id}@{replica.born_ms}"
