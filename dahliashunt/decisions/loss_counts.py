"""Quarantine of requests that crash the replicas that run them.

Load pattern
------------
One request crashes each replica that starts to run it, and its caller sends
it again, each time to another entry. A batch item does the same without a
caller, each time its job has another owner.

What goes wrong without it
--------------------------
Each resend takes down a replica with all that runs there.

How
---
Lost runs are collected by request digest over all entries. Each crash counts,
also those that overlap: entries that wait for the same service send a request
together once it is back. After `MAX_LOSSES` crashes the request is a suspect:
it runs once at a time in the whole fleet, and each such trial is noted before
it begins. A served run clears the losses.

Several runs of a popular request can be lost to one cause, such as a rack
without power. It is a suspect too, but its first trial waits for nothing, so
that it is cleared within the time of one run. Requests that come meanwhile
wait for the trial's end.

Each further trial waits longer. A trial counts from its claim, whatever
becomes of the entry that has claimed it; one that did not run, or whose
replica answered it, is taken back.

The runs that are kept, and so the count, depend on which were lost and not on
the order in which an entry learns of them.

Losses expire some time after the last one, since a new version may run
what crashed the old one.
"""

import bisect
import collections
from dataclasses import dataclass
import enum

from dahliashunt.ids import Fingerprint

__all__ = [
    "MAX_DIGESTS",
    "LossCounts",
    "LostRun",
    "Permission",
    "Trial",
    "count_crashes",
    "decides_alike",
    "losses_in_row",
]

MAX_LOSSES = 3
"""Crashes after which a request is a suspect."""

ONE_CAUSE_MS = 750
"""Milliseconds within which entries learn of all losses of one cause."""

QUARANTINES_MS = (0, 5_000, 25_000, 600_000)
"""Milliseconds of refusal before the first trial and before each further
one. Three trials fit into half a minute, then one into ten minutes."""

TRIAL_MS = 5_000
"""Milliseconds for which all other entries wait for the end of a trial,
beyond the time that the longest lost run took."""

EXPIRY_MS = 2 * QUARANTINES_MS[-1]
"""Time after the last loss until losses are forgotten, in milliseconds;
longer than a quarantine, so that one more loss starts the next."""

MAX_RUNS = 16
"""Lost runs kept of a digest, the latest ones."""

MAX_RUNS_AT_REPLICA = 5
"""Lost runs kept of a digest at one replica. Runs that one crash ended are
no more than one crash, and must not displace those of other replicas."""

MAX_DIGESTS = 10_000
"""Digests kept; the oldest are evicted first."""


@dataclass(frozen=True, order=True, slots=True)
class LostRun:
    """A run that was lost with its replica.

    Attributes
    ----------
    lost_ms, began_ms : int
        Times of the loss and of the start, on a clock that entries share.
    replica : str
        Identifies the replica's incarnation; empty if unknown.
    """

    lost_ms: int
    began_ms: int
    replica: str = ""


@dataclass(frozen=True, order=True, slots=True)
class Trial:
    """The claim of one entry to run a suspect.

    Attributes
    ----------
    claimed_ms : int
        Time of the claim, on a clock that entries share.
    token : str
        Tells apart claims of one moment.
    """

    claimed_ms: int
    token: str = ""


class Permission(enum.Enum):
    """Whether a request may be sent to a replica."""

    ALLOWED = "allowed"
    QUARANTINED = "quarantined"
    ON_TRIAL = "on_trial"
    """A trial is under way, whose end decides."""

    TRIAL = "trial"
    """One run in the fleet may try it."""


def losses_in_row(runs) -> tuple[LostRun, ...]:
    """Return the runs that were lost to different causes.

    Each begins at the end of the one before or later, or ends
    `ONE_CAUSE_MS` later. This is interval scheduling by the earliest end
    [1]_, in O(n log n).

    Parameters
    ----------
    runs : iterable of LostRun

    References
    ----------
    .. [1] Kleinberg and Tardos, "Algorithm Design", section 4.1, 2006.

    Examples
    --------
    >>> first, beside, after = LostRun(5, 0), LostRun(6, 1), LostRun(9, 7)
    >>> losses_in_row([after, beside, first]) == (first, after)
    True
    """
    in_row = []
    for run in sorted(runs):
        if not in_row or _has_other_cause(run, in_row[-1]):
            in_row.append(run)
    return tuple(in_row)


def _has_other_cause(run, last):
    is_later = run.lost_ms >= last.lost_ms + ONE_CAUSE_MS
    return is_later or run.began_ms >= last.lost_ms


def count_crashes(runs) -> int:
    """Return how many crashes ended `runs`, in O(n log n).

    Runs that one replica lost to one cause are one crash; those of several
    replicas are several, though they overlap.

    Parameters
    ----------
    runs : iterable of LostRun

    Examples
    --------
    >>> count_crashes([LostRun(5, 0, "a"), LostRun(5, 1, "a")])
    1
    >>> count_crashes([LostRun(5, 0, "a"), LostRun(5, 1, "b")])
    2
    """
    return sum(map(len, map(losses_in_row, _by_replica(runs).values())))


def decides_alike(losses, others) -> bool:
    """Return whether two states of one request need not be merged.

    A rack that goes dark loses a popular request at many entries. Once the
    crashes make it a suspect, further ones before its first trial change
    nothing, and need no write.

    Parameters
    ----------
    losses, others : (tuple of LostRun, tuple of Trial)

    Examples
    --------
    >>> three = tuple(LostRun(5, 0, name) for name in "abc")
    >>> decides_alike((three, ()), ((*three, LostRun(5, 0, "d")), ()))
    True
    >>> decides_alike((three, ()), (three[:2], ()))
    False
    """
    if losses == others:
        return True
    if losses[1] or others[1]:
        return False
    crashes = (count_crashes(runs) for runs, _ in (losses, others))
    return min(crashes) >= MAX_LOSSES


def _by_replica(runs):
    runs_by_replica = collections.defaultdict(list)
    for run in runs:
        runs_by_replica[run.replica].append(run)
    return runs_by_replica


def _latest(runs):
    """Return the runs that are kept of all, by the time of their loss.

    The same are kept if some of the others were dropped before.
    """
    kept = []
    for at_replica in _by_replica(runs).values():
        kept += sorted(at_replica)[-MAX_RUNS_AT_REPLICA:]
    return tuple(sorted(kept)[-MAX_RUNS:])


def _longest_ms(runs):
    return max((run.lost_ms - run.began_ms for run in runs), default=0)


class LossCounts:
    """Crashes and trials by request digest.

    Parameters
    ----------
    max_digests : int
        Digests kept; the oldest are evicted first.

    Examples
    --------
    >>> counts = LossCounts()
    >>> [counts.lost("bad", at + 1, at + 2) for at in range(0, 30, 10)]
    [1, 2, 3]
    >>> counts.permission("bad", 23)
    <Permission.TRIAL: 'trial'>
    >>> counts.learn_trials("bad", [Trial(23)])
    >>> counts.permission("bad", 24)
    <Permission.ON_TRIAL: 'on_trial'>
    >>> counts.lost("bad", 24, 25)
    4
    >>> counts.permission("bad", 26)
    <Permission.QUARANTINED: 'quarantined'>
    >>> counts.served("bad")
    True
    >>> counts.permission("bad", 26)
    <Permission.ALLOWED: 'allowed'>
    """

    def __init__(self, max_digests: int = MAX_DIGESTS):
        self._max_digests = max_digests
        self._runs_by_digest: dict[Fingerprint, tuple[LostRun, ...]] = {}
        self._trials_by_digest: dict[Fingerprint, tuple[Trial, ...]] = {}

    def lost(
        self,
        digest: Fingerprint,
        began_ms: int,
        now_ms: int,
        replica: str = "",
    ) -> int:
        """Record a lost run; return the crashes.

        Parameters
        ----------
        digest : Fingerprint
        began_ms : int
            Time at which the run was sent to its replica.
        now_ms : int
        replica : str
            Identifies the replica's incarnation.
        """
        run = LostRun(now_ms, began_ms, replica)
        return self.learn(digest, (run,), now_ms)

    def learn(self, digest: Fingerprint, runs, now_ms: int) -> int:
        """Merge lost runs of all entries; return the crashes."""
        known = self.runs(digest, now_ms)
        merged = _latest({*known, *runs})
        if merged != known:
            self._put(digest, merged)
        return self.losses(digest, now_ms)

    def _put(self, digest, runs):
        self._runs_by_digest.pop(digest, None)
        self._runs_by_digest[digest] = runs
        while len(self._runs_by_digest) > self._max_digests:
            self.served(next(iter(self._runs_by_digest)))

    def runs(self, digest: Fingerprint, now_ms: int) -> tuple[LostRun, ...]:
        """Return the lost runs that are kept, none once they have expired."""
        runs = self._runs_by_digest.get(digest, ())
        if runs and now_ms - runs[-1].lost_ms >= EXPIRY_MS:
            return ()
        return runs

    def losses(self, digest: Fingerprint, now_ms: int) -> int:
        """Return the number of crashes, of those that are kept."""
        return count_crashes(self.runs(digest, now_ms))

    def longest_ms(self, digest: Fingerprint, now_ms: int) -> int:
        """Return how long the longest of the kept runs has lasted."""
        return _longest_ms(self.runs(digest, now_ms))

    def expired(self, now_ms: int) -> list[Fingerprint]:
        """Return the digests whose losses have expired."""
        return [
            digest
            for digest in self._runs_by_digest
            if not self.runs(digest, now_ms)
        ]

    def served(self, digest: Fingerprint) -> bool:
        """Clear `digest`; return whether it had losses."""
        self._trials_by_digest.pop(digest, None)
        return self._runs_by_digest.pop(digest, None) is not None

    def trials(self, digest: Fingerprint) -> tuple[Trial, ...]:
        """Return the trials since the losses began, the earliest first."""
        return self._trials_by_digest.get(digest, ())

    def lost_trials(self, digest: Fingerprint, now_ms: int) -> int:
        """Return the number of trials whose runs were lost."""
        starts = [trial.claimed_ms for trial in self.trials(digest)]
        numbers = {
            bisect.bisect(starts, run.began_ms)
            for run in self.runs(digest, now_ms)
        }
        return len(numbers - {0})

    def learn_trials(self, digest: Fingerprint, trials) -> None:
        """Replace the known trials by those that all entries have noted."""
        if digest in self._runs_by_digest:
            self._trials_by_digest[digest] = tuple(sorted(trials))

    def permission(
        self,
        digest: Fingerprint,
        now_ms: int,
        longest_wait_ms: int = EXPIRY_MS,
    ) -> Permission:
        """Return whether the request may be sent now.

        Parameters
        ----------
        digest : Fingerprint
        now_ms : int
        longest_wait_ms : int
            Bounds each wait of a request that must run in any case.
        """
        runs = self.runs(digest, now_ms)
        if len(runs) < MAX_LOSSES or count_crashes(runs) < MAX_LOSSES:
            return Permission.ALLOWED
        trials = self.trials(digest)
        if not trials:
            return Permission.TRIAL
        last_ms = trials[-1].claimed_ms
        lost_ms = runs[-1].lost_ms
        if lost_ms < last_ms:
            wait_ms = min(TRIAL_MS + _longest_ms(runs), longest_wait_ms)
            if now_ms < last_ms + wait_ms:
                return Permission.ON_TRIAL
        stage = min(len(trials), len(QUARANTINES_MS) - 1)
        wait_ms = min(QUARANTINES_MS[stage], longest_wait_ms)
        if now_ms < max(lost_ms, last_ms) + wait_ms:
            return Permission.QUARANTINED
        return Permission.TRIAL
