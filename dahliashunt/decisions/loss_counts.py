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
Lost runs are collected by request digest over all entries. After `MAX_LOSSES`
in a row the request is refused for a time that grows with each further loss.
Once that time is over, one run in the whole fleet tries it again. A served
run clears the losses, so that a popular request is not quarantined for
unrelated ones.

A quarantine grows only by the loss of such a trial: runs that entries begin
before they know of the quarantine don't count, so that an outage of the
store, in which entries count alone, doesn't lengthen it.

Several runs of a popular request can be lost to one cause, such as a rack
without power. These are lost at about the same time, and started before that.
So a run counts if it started after the last loss counted, or was lost
`ONE_CAUSE_MS` after it: a request that crashes its replicas after seconds is
sent again while earlier runs last. Runs are kept with their times, so that
entries which could not reach each other count alike afterwards, whatever they
learn first.

In an outage of all replicas popular requests are still refused; the first
quarantines are short, so that they recover soon after the replicas.

Losses expire some time after the last one, since a new version may run
what crashed the old one.
"""

from dataclasses import dataclass
import enum

from dahliashunt.ids import Fingerprint

__all__ = [
    "MAX_DIGESTS",
    "LossCounts",
    "LostRun",
    "Permission",
    "losses_in_row",
]

MAX_LOSSES = 3
"""Losses in a row after which a request is refused."""

ONE_CAUSE_MS = 750
"""Milliseconds within which entries learn of all losses of one cause. Three
losses in a row are known twice as long after the first of them."""

QUARANTINES_MS = (5_000, 10_000, 15_000, 600_000)
"""Milliseconds of refusal after `MAX_LOSSES` losses and after each further
one. Three trials may follow within half a minute, then one in ten minutes."""

TRIAL_MS = 5_000
"""Milliseconds for which all other entries wait for the end of a trial,
beyond the time that the longest lost run took."""

EXPIRY_MS = 2 * QUARANTINES_MS[-1]
"""Time after the last loss until losses are forgotten, in milliseconds;
longer than a quarantine, so that one more loss starts the next."""

MAX_RUNS = MAX_LOSSES + len(QUARANTINES_MS)
"""Lost runs kept of a digest; more don't change its quarantine."""

MAX_DIGESTS = 10_000
"""Digests kept; the oldest are evicted first."""


@dataclass(frozen=True, order=True, slots=True)
class LostRun:
    """A run that was lost with its replica.

    Attributes
    ----------
    lost_ms, began_ms : int
        Times of the loss and of the start, on a clock that entries share.
    """

    lost_ms: int
    began_ms: int


class Permission(enum.Enum):
    """Whether a request may be sent to a replica."""

    ALLOWED = "allowed"
    QUARANTINED = "quarantined"
    TRIAL = "trial"
    """Its quarantine is over: one run in the fleet may try it."""


def losses_in_row(runs) -> tuple[LostRun, ...]:
    """Return the runs that count as losses one after another.

    Each begins at the end of the one before or later, or ends
    `ONE_CAUSE_MS` later. From the first quarantine on each begins after half
    of it, which leaves room for the error of the shared clock. This is
    interval scheduling by the earliest end [1]_, in O(n log n).

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
        if not in_row or _has_other_cause(run, in_row):
            in_row.append(run)
    return tuple(in_row[-MAX_RUNS:])


def _has_other_cause(run, in_row):
    """Tell whether a run was lost to another cause than the last in a row."""
    last_ms = in_row[-1].lost_ms
    quarantine_ms = _quarantine_ms(len(in_row))
    if quarantine_ms:
        return run.began_ms >= last_ms + quarantine_ms // 2
    is_later = run.lost_ms >= last_ms + ONE_CAUSE_MS
    return is_later or run.began_ms >= last_ms


def _quarantine_ms(losses):
    if losses < MAX_LOSSES:
        return 0
    return QUARANTINES_MS[min(losses - MAX_LOSSES, len(QUARANTINES_MS) - 1)]


def _longest_ms(runs):
    return max(run.lost_ms - run.began_ms for run in runs)


class LossCounts:
    """Losses in a row by request digest.

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
    <Permission.QUARANTINED: 'quarantined'>
    >>> counts.served("bad")
    True
    >>> counts.permission("bad", 23)
    <Permission.ALLOWED: 'allowed'>
    """

    def __init__(self, max_digests: int = MAX_DIGESTS):
        self._max_digests = max_digests
        self._runs_by_digest: dict[Fingerprint, tuple[LostRun, ...]] = {}
        self._trial_ms_by_digest: dict[Fingerprint, int] = {}

    def lost(self, digest: Fingerprint, began_ms: int, now_ms: int) -> int:
        """Record a lost run; return the losses in a row.

        Parameters
        ----------
        digest : Fingerprint
        began_ms : int
            Time at which the run was sent to its replica.
        now_ms : int
        """
        return self.learn(digest, (LostRun(now_ms, began_ms),), now_ms)

    def learn(self, digest: Fingerprint, runs, now_ms: int) -> int:
        """Merge lost runs of all entries; return the losses in a row."""
        known = self.runs(digest, now_ms)
        merged = losses_in_row({*known, *runs})
        if merged != known:
            self._put(digest, merged)
        return self.losses(digest, now_ms)

    def _put(self, digest, runs):
        self._runs_by_digest.pop(digest, None)
        self._runs_by_digest[digest] = runs
        while len(self._runs_by_digest) > self._max_digests:
            self.served(next(iter(self._runs_by_digest)))

    def runs(self, digest: Fingerprint, now_ms: int) -> tuple[LostRun, ...]:
        """Return the runs lost in a row, none once they have expired."""
        runs = self._runs_by_digest.get(digest, ())
        if runs and now_ms - runs[-1].lost_ms >= EXPIRY_MS:
            return ()
        return runs

    def losses(self, digest: Fingerprint, now_ms: int) -> int:
        """Return the number of losses in a row."""
        return len(self.runs(digest, now_ms))

    def expired(self, now_ms: int) -> list[Fingerprint]:
        """Return the digests whose losses have expired."""
        return [
            digest
            for digest in self._runs_by_digest
            if not self.runs(digest, now_ms)
        ]

    def served(self, digest: Fingerprint) -> bool:
        """Clear `digest`; return whether it had losses."""
        self._trial_ms_by_digest.pop(digest, None)
        return self._runs_by_digest.pop(digest, None) is not None

    def trial_ms(self, digest: Fingerprint) -> int:
        """Return the time at which the latest trial began, 0 without one."""
        return self._trial_ms_by_digest.get(digest, 0)

    def learn_trial(self, digest: Fingerprint, began_ms: int) -> None:
        """Record a trial of this entry or another."""
        if digest in self._runs_by_digest:
            latest_ms = max(began_ms, self.trial_ms(digest))
            self._trial_ms_by_digest[digest] = latest_ms

    def permission(self, digest: Fingerprint, now_ms: int) -> Permission:
        """Return whether the request may be sent now."""
        runs = self.runs(digest, now_ms)
        if len(runs) < MAX_LOSSES:
            return Permission.ALLOWED
        until_ms = max(
            runs[-1].lost_ms + _quarantine_ms(len(runs)),
            self.trial_ms(digest) + TRIAL_MS + _longest_ms(runs),
        )
        if now_ms < until_ms:
            return Permission.QUARANTINED
        return Permission.TRIAL
