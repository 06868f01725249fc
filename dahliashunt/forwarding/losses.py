"""Share the lost runs of requests and of prompt parts between entries.

There is one row per digest, written at a loss and deleted when the request,
or one with the part, is served, or once its losses have expired. An entry that
can't write keeps its losses and writes them once the store is back.

The row also holds the trials of a suspect. A trial stays there though its
entry ends; only the entry that has claimed it takes it back.

A part's row also names the parts that were in all of its lost requests.
"""

import asyncio
import collections
from dataclasses import dataclass
import hashlib
import json
import random

from dahliashunt.decisions.lapse_grace import ReadGap
from dahliashunt.decisions.loss_counts import decides_alike
from dahliashunt.decisions.loss_counts import EXPIRY_MS
from dahliashunt.decisions.loss_counts import LossCounts
from dahliashunt.decisions.loss_counts import losses_in_row
from dahliashunt.decisions.loss_counts import LostRun
from dahliashunt.decisions.loss_counts import MAX_DIGESTS
from dahliashunt.decisions.loss_counts import MAX_LOSSES
from dahliashunt.decisions.loss_counts import Permission
from dahliashunt.decisions.loss_counts import Trial
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.forwarding.call import Call
from dahliashunt.ids import Fingerprint
from dahliashunt.ports import Clock
from dahliashunt.ports import TableService
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import Write
from dahliashunt.row_fields import FIELD_ERRORS
from dahliashunt.row_fields import list_field
from dahliashunt.row_fields import MAX_WHOLE
from dahliashunt.row_fields import parse_json
from dahliashunt.row_fields import text_field
from dahliashunt.row_fields import whole_field

__all__ = [
    "LOSSES_PREFIX",
    "Admission",
    "SharedLosses",
    "part_fingerprint",
    "request_fingerprint",
]

LOSSES_PREFIX = "losses//"

MAX_UNWRITTEN = 1_000
"""Digests whose losses may wait for the store; the oldest are dropped."""

WRITES_AT_ONCE = 8
"""Rows written at the same time: a replica's crash loses several requests,
each with several parts, and all entries must soon know."""

RETRY_MS = (100, 300)
"""Bounds of the random delay after a failed write."""

CLOCK_STEP_MS = 25
"""Correction of the store's clock from which it is followed. A smaller one
could make a run seem to begin before the end of the one before it."""

MAX_CLOCK_ERROR_MS = 10_000
"""Time ahead of this entry's clock from which a run or trial in a row is
ignored: it would not expire. Entries' clocks differ by one call's duration."""

CLAIM_PAUSE_MS = 1_000
"""Time after a failed claim without another one: a request that waits for
the store holds a slot."""

SWEEP_MS = (300_000, 900_000)
"""Bounds of the random time between removals of expired rows."""

MAX_REMOVALS = 20
"""Rows that one entry removes in a sweep."""

REUSE_MS = 1_000
"""Time after its claim for which an entry keeps a trial that showed nothing,
for its next run: while a service is down, none of them begins."""

CLAIM_TRIES = 3
"""Tries of a claim whose row another entry changes meanwhile, as all do that
lose runs to one cause."""

_STORE_ERRORS = (PlatformUnavailable, TransactionConflict, WriteOutcomeUnknown)


def request_fingerprint(host: str, call: Call) -> Fingerprint:
    """Return a fingerprint that is equal for resends of one request."""
    digest = hashlib.blake2b(call.body, digest_size=12)
    digest.update(f"\0{host}\0{call.method}\0{call.target}".encode())
    return Fingerprint(digest.hexdigest())


def part_fingerprint(service: str, part: str) -> Fingerprint:
    """Return the fingerprint of a prompt part at the replicas of a service."""
    text = f"part\0{service}\0{part}".encode()
    return Fingerprint(hashlib.blake2b(text, digest_size=12).hexdigest())


@dataclass(frozen=True, slots=True)
class Admission:
    """Permission to send a request once.

    Attributes
    ----------
    digest : Fingerprint
    trial : Trial or None
        The trial that the run is, None if it is not the only one.
    """

    digest: Fingerprint
    trial: Trial | None = None


class SharedLosses:
    """Lost runs of this entry's requests and of all others'.

    Listens to the feed of `LOSSES_PREFIX`.

    Parameters
    ----------
    table : TableService
    clock : Clock
    store_now_ms : callable
        Returns this entry's estimate of the store's clock, on which entries
        compare their runs.
    rng : random.Random
    log : structlog logger
    is_cut_off : callable
        Tells whether the store has not been heard of for some time.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        store_now_ms,
        rng: random.Random,
        log,
        is_cut_off=lambda: False,
    ):
        self._table = table
        self._is_cut_off = is_cut_off
        self._clock = clock
        self._store_now_ms = store_now_ms
        self._clock_offset_ms: int | None = None
        self._rng = rng
        self._log = log
        self._counts = LossCounts()
        # Digests to write; True if the row's losses are to be dropped, since
        # the request was served here.
        self._drops_row_by_digest: dict[Fingerprint, bool] = {}
        self._beside_by_digest: dict[Fingerprint, frozenset] = {}
        self._writing: set[Fingerprint] = set()
        # Claims of this entry that its rows may still hold.
        self._taken_back: collections.deque[Trial] = collections.deque(
            maxlen=MAX_UNWRITTEN
        )
        self._kept_by_digest: dict[Fingerprint, Trial] = {}
        self._has_unwritten = asyncio.Event()
        self._claim_from_ms = clock.now_ms()

    def now_ms(self) -> int:
        """Return the store's clock, steady between two runs of this entry."""
        now_ms = self._clock.now_ms()
        offset_ms = self._store_now_ms() - now_ms
        known_ms = self._clock_offset_ms
        if known_ms is None or abs(offset_ms - known_ms) > CLOCK_STEP_MS:
            self._clock_offset_ms = offset_ms
        return now_ms + self._clock_offset_ms

    def lost(
        self,
        digest: Fingerprint,
        request_id: str,
        began_ms: int,
        beside: frozenset | None = None,
        replica: str = "",
    ) -> None:
        """Count a request, or a part of one, that was lost with its replica.

        Parameters
        ----------
        digest : Fingerprint
        request_id : str
        began_ms : int
            Time by this entry's clock at which the run began.
        beside : frozenset of Fingerprint or None
            For a part, the request's other parts.
        replica : str
            Identifies the replica's incarnation.
        """
        now_ms = self.now_ms()
        age_ms = self._clock.now_ms() - began_ms
        before = self._known(digest, now_ms)
        self._learn_beside(digest, beside)
        losses = self._counts.lost(digest, now_ms - age_ms, now_ms, replica)
        self._log.info(
            "request_lost" if beside is None else "part_lost",
            request_id=request_id,
            digest=digest,
            losses=losses,
            replica=replica,
        )
        if self._known(digest, now_ms) != before:
            self._write_later(digest, False)

    def _known(self, digest, now_ms):
        """Return all that is to be written of a digest but its trial."""
        return self._counts.runs(digest, now_ms), self.beside(digest)

    def _learn_beside(self, digest, beside):
        """Keep the parts that were in all lost requests."""
        if beside is None:
            return
        known = self._beside_by_digest.pop(digest, beside)
        self._beside_by_digest[digest] = known & beside
        if len(self._beside_by_digest) > MAX_DIGESTS:
            del self._beside_by_digest[next(iter(self._beside_by_digest))]

    def beside(self, digest: Fingerprint) -> frozenset | None:
        """Return the parts in all lost requests of a part, None if unknown."""
        return self._beside_by_digest.get(digest)

    def _clear(self, digest):
        self._beside_by_digest.pop(digest, None)
        self._kept_by_digest.pop(digest, None)
        return self._counts.served(digest)

    def served(self, digest: Fingerprint) -> None:
        """Clear the losses of a request that was served."""
        if self._clear(digest):
            self._log.info("losses_cleared", digest=digest)
            self._write_later(digest, True)

    def losses(self, digest: Fingerprint) -> int:
        """Return the number of crashes."""
        return self._counts.losses(digest, self.now_ms())

    def permission(
        self, digest: Fingerprint, longest_wait_ms: int = EXPIRY_MS
    ) -> Permission:
        """Return whether the request may be sent, as far as is known here.

        Without the store there is no trial, so that crashes which no trial
        has followed count only if they had different causes: a popular
        request lost with a rack is not refused until the store is back.
        """
        if digest in self._kept_by_digest:
            return Permission.TRIAL
        now_ms = self.now_ms()
        permission = self._counts.permission(digest, now_ms, longest_wait_ms)
        if permission is not Permission.TRIAL or not self._is_cut_off():
            return permission
        runs = self._counts.runs(digest, now_ms)
        has_one_cause = len(losses_in_row(runs)) < MAX_LOSSES
        if has_one_cause and not self._counts.trials(digest):
            return Permission.ALLOWED
        return permission

    def runs(self, digest: Fingerprint) -> tuple[LostRun, ...]:
        """Return the lost runs that are kept, the earliest first."""
        return self._counts.runs(digest, self.now_ms())

    def causes(self, digest: Fingerprint) -> int:
        """Return how many causes the kept losses have had at least."""
        return len(losses_in_row(self._counts.runs(digest, self.now_ms())))

    def longest_ms(self, digest: Fingerprint) -> int:
        """Return how long the longest of the lost runs has lasted."""
        return self._counts.longest_ms(digest, self.now_ms())

    def lost_trials(self, digest: Fingerprint) -> int:
        """Return the number of trials whose runs were lost."""
        return self._counts.lost_trials(digest, self.now_ms())

    def may_claim(self) -> bool:
        """Return whether the store may be asked for a trial now."""
        return self._clock.now_ms() >= self._claim_from_ms

    async def admit(
        self, digest: Fingerprint, longest_wait_ms: int = EXPIRY_MS
    ) -> Admission | None:
        """Return permission to send the request now, or None.

        The run of a suspect is noted in the store first, on the condition
        that no other entry has done so: all entries together try the request
        once. Without the store it is not tried.

        Parameters
        ----------
        digest : Fingerprint
        longest_wait_ms : int
            Bounds each wait of a request that must run in any case.
        """
        kept = self._kept_by_digest.pop(digest, None)
        if kept is not None:
            return Admission(digest, kept)
        permission = self.permission(digest, longest_wait_ms)
        if permission is Permission.ALLOWED:
            return Admission(digest)
        if permission is not Permission.TRIAL or not self.may_claim():
            return None
        for _ in range(CLAIM_TRIES):
            try:
                return await self._claim_trial(digest, longest_wait_ms)
            except TransactionConflict:
                continue
            except (PlatformUnavailable, WriteOutcomeUnknown) as error:
                self._claim_from_ms = self._clock.now_ms() + CLAIM_PAUSE_MS
                self._log.warning(
                    "trial_claim_failed", digest=digest, reason=str(error)
                )
                return None
        return None

    async def _claim_trial(self, digest, longest_wait_ms):
        row = await self._table.read(f"{LOSSES_PREFIX}{digest}")
        if row is None and not self._is_unwritten(digest):
            # Another entry has served the request.
            self._clear(digest)
            return Admission(digest)
        now_ms = self.now_ms()
        losses = self._learn(digest, _decode(row))
        permission = self._counts.permission(digest, now_ms, longest_wait_ms)
        if permission is Permission.ALLOWED:
            return Admission(digest)
        if permission is not Permission.TRIAL:
            return None
        trial = Trial(now_ms, f"{self._rng.getrandbits(64):016x}")
        trials = (*self._counts.trials(digest), trial)
        runs, beside = self._known(digest, now_ms)
        try:
            await self._put_row(digest, row, _Losses(runs, trials, beside))
        except (WriteOutcomeUnknown, asyncio.CancelledError):
            # The claim may be in the row, or come to be there.
            self._take_back(digest, trial)
            raise
        self._counts.learn_trials(digest, trials)
        self._log.info(
            "trial_claimed", digest=digest, losses=losses, trials=len(trials)
        )
        return Admission(digest, trial)

    def keep(self, admission: Admission) -> None:
        """Keep the trial of a run that showed nothing for the next run."""
        if admission.trial is not None:
            self._kept_by_digest[admission.digest] = admission.trial

    @property
    def keeps_trials(self) -> bool:
        """Whether trials are kept that may have to be taken back."""
        return bool(self._kept_by_digest)

    def take_back_old(self) -> None:
        """Take back the kept trials whose time is over."""
        until_ms = self.now_ms() - REUSE_MS
        for digest, trial in list(self._kept_by_digest.items()):
            if trial.claimed_ms <= until_ms:
                self.take_back(Admission(digest, trial))

    def take_back(self, admission: Admission) -> None:
        """Take back the trial of a run that ended without a crash."""
        if admission.trial is not None:
            self._kept_by_digest.pop(admission.digest, None)
            self._log.info("trial_taken_back", digest=admission.digest)
            self._take_back(admission.digest, admission.trial)

    def _take_back(self, digest, trial):
        self._taken_back.append(trial)
        self._learn_trials(digest, self._counts.trials(digest))
        self._write_later(digest, False)

    def _learn_trials(self, digest, trials):
        kept = [each for each in trials if each not in self._taken_back]
        self._counts.learn_trials(digest, kept)

    def _learn(self, digest, stored):
        if stored.runs:
            self._learn_beside(digest, stored.beside)
        now_ms = self.now_ms()
        latest_ms = now_ms + MAX_CLOCK_ERROR_MS
        runs = [run for run in stored.runs if run.lost_ms <= latest_ms]
        losses = self._counts.learn(digest, runs, now_ms)
        trials = [one for one in stored.trials if one.claimed_ms <= latest_ms]
        self._learn_trials(digest, trials)
        return losses

    def _write_later(self, digest, cleared):
        drops_row = self._drops_row_by_digest
        drops_row[digest] = drops_row.pop(digest, False) or cleared
        if len(drops_row) > MAX_UNWRITTEN:
            oldest = next(iter(drops_row))
            del drops_row[oldest]
            self._log.warning("loss_write_dropped", digest=oldest)
        self._has_unwritten.set()

    def replaced(self, rows) -> None:
        """Learn the losses of a whole table."""
        for row in rows:
            self.changed(row)

    def changed(self, row: Row) -> None:
        """Learn the losses of one request."""
        digest = Fingerprint(row.key.removeprefix(LOSSES_PREFIX))
        if self._drops_row_by_digest.get(digest):
            return
        now_ms = self.now_ms()
        before = self._counts.losses(digest, now_ms)
        losses = self._learn(digest, _decode(row))
        if losses > before:
            self._log.info(
                "losses_learned", digest=digest, losses=losses, before=before
            )

    def removed(self, key: str) -> None:
        """Clear the losses of a request that another entry has served."""
        digest = Fingerprint(key.removeprefix(LOSSES_PREFIX))
        if not self._is_unwritten(digest):
            self._clear(digest)

    def _is_unwritten(self, digest):
        return digest in self._drops_row_by_digest or digest in self._writing

    def gap_ended(self, gap: ReadGap) -> None:
        """Do nothing: the feed continues where it stopped."""

    async def run(self) -> None:
        """Write losses until cancelled."""
        while True:
            await self._has_unwritten.wait()
            self._has_unwritten.clear()
            while self._drops_row_by_digest:
                oldest = list(self._drops_row_by_digest)[:WRITES_AT_ONCE]
                await asyncio.gather(*map(self._try_to_write, oldest))

    async def sweep(self) -> None:
        """Remove rows of expired losses until cancelled.

        Each entry takes others at random, since all know the same rows.
        """
        while True:
            await self._clock.sleep_ms(self._rng.randint(*SWEEP_MS))
            expired = self._counts.expired(self.now_ms())
            removals = min(MAX_REMOVALS, len(expired))
            for digest in self._rng.sample(expired, removals):
                self._write_later(digest, False)

    async def _try_to_write(self, digest):
        cleared = self._drops_row_by_digest.pop(digest)
        self._writing.add(digest)
        try:
            await self._write(digest, cleared)
        except _STORE_ERRORS as error:
            self._write_later(digest, cleared)
            self._log.warning(
                "loss_write_failed", digest=digest, reason=str(error)
            )
            await self._clock.sleep_ms(self._rng.randint(*RETRY_MS))
        finally:
            self._writing.discard(digest)

    async def _write(self, digest, cleared):
        """Merge this entry's losses into the row, or delete it."""
        row = await self._table.read(f"{LOSSES_PREFIX}{digest}")
        stored = _decode(row)
        if not cleared:
            self._learn(digest, stored)
        runs, beside = self._known(digest, self.now_ms())
        trials = self._counts.trials(digest)
        is_same = beside == stored.beside and decides_alike(
            (runs, trials), (stored.runs, stored.trials)
        )
        if not is_same:
            await self._put_row(digest, row, _Losses(runs, trials, beside))
        for trial in set(self._taken_back) & set(stored.trials):
            self._taken_back.remove(trial)

    async def _put_row(self, digest, row, losses):
        expect = row.version if row else MustBe.ABSENT
        value = _encode(losses) if losses.runs else None
        write = Write(f"{LOSSES_PREFIX}{digest}", value, expect)
        await self._table.transact((write,))


@dataclass(frozen=True, slots=True)
class _Losses:
    """Content of a row."""

    runs: tuple[LostRun, ...] = ()
    trials: tuple[Trial, ...] = ()
    beside: frozenset | None = None


def _encode(losses):
    """Return the row's text.

    Replicas and trials have fields of their own, so that earlier versions
    can read the runs and the last trial.
    """
    fields = {
        "runs": [[run.began_ms, run.lost_ms] for run in losses.runs],
        "replicas": [run.replica for run in losses.runs],
        "trial_ms": losses.trials[-1].claimed_ms if losses.trials else 0,
        "trials": [[each.claimed_ms, each.token] for each in losses.trials],
    }
    if losses.beside is not None:
        fields["beside"] = sorted(losses.beside)
    return json.dumps(fields)


def _decode(row):
    """Return the losses in `row`; none if it can't be decoded.

    Rows of earlier versions hold a number only, or name neither replicas nor
    all trials.
    """
    if row is None:
        return _Losses()
    try:
        fields = parse_json(row.value)
        runs = list_field(fields["runs"])
        replicas = fields.get("replicas") or [""] * len(runs)
        trials = fields.get("trials")
        if trials is None:
            trials = [[fields["trial_ms"], ""]] if fields["trial_ms"] else []
        beside = fields.get("beside")
        return _Losses(
            tuple(
                LostRun(_time(lost_ms), _time(began_ms), text_field(replica))
                for (began_ms, lost_ms), replica in zip(
                    runs, replicas, strict=True
                )
            ),
            tuple(
                Trial(_time(at_ms), text_field(token))
                for at_ms, token in trials
            ),
            None if beside is None else frozenset(map(text_field, beside)),
        )
    except FIELD_ERRORS:
        return _Losses()


def _time(value):
    return whole_field(value, -MAX_WHOLE)
