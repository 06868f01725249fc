"""Hold back requests that crash the replicas that run them.

A request is known by its own digest and by the parts of its prompt. What runs
were lost is shared by all entries; which part of a lost request is held back
also depends on what this entry has served.
"""

from dataclasses import dataclass

from dahliashunt.decisions.prompt_parts import is_held_back
from dahliashunt.decisions.prompt_parts import PartHistory
from dahliashunt.forwarding.losses import part_fingerprint
from dahliashunt.forwarding.losses import SharedLosses
from dahliashunt.ids import Fingerprint
from dahliashunt.ports import Clock

__all__ = ["CrashGuard", "CrashKeys", "crash_keys"]


@dataclass(frozen=True, slots=True)
class CrashKeys:
    """What a request's losses are counted under.

    Attributes
    ----------
    request : Fingerprint
    parts : tuple of Fingerprint
        The parts that it shares with others, at its service.
    """

    request: Fingerprint
    parts: tuple[Fingerprint, ...]


def crash_keys(
    request: Fingerprint, service: str, parts: tuple[str, ...]
) -> CrashKeys:
    """Return the keys of a request at a service.

    Parameters
    ----------
    request : Fingerprint
    service : str
    parts : tuple of str
        Ids of the parts that it shares with others.
    """
    found = (part_fingerprint(service, part) for part in parts)
    return CrashKeys(request, tuple(dict.fromkeys(found)))


class CrashGuard:
    """Tells which requests may be sent to replicas.

    Parameters
    ----------
    losses : SharedLosses
    clock : Clock
    """

    def __init__(self, losses: SharedLosses, clock: Clock):
        self._losses = losses
        self._clock = clock
        self._history = PartHistory()
        # Served requests of any kind before a part's first loss in a row.
        self._served_before_by_part: dict[Fingerprint, int] = {}

    def is_quarantined(self, keys: CrashKeys) -> bool:
        """Return whether the request must not be sent now."""
        return any(map(self._losses.is_quarantined, self._held_back(keys)))

    async def may_run(self, keys: CrashKeys) -> bool:
        """Return whether the request may be sent to a replica now.

        It is the fleet's one trial if a quarantine has just ended.
        """
        if self.is_quarantined(keys):
            return False
        for digest in self._held_back(keys):
            if not await self._losses.may_run(digest):
                return False
        return True

    def lost(self, keys: CrashKeys, request_id: str, began_ms: int) -> None:
        """Count a request that was lost with its replica.

        Parameters
        ----------
        keys : CrashKeys
        request_id : str
        began_ms : int
            Time by this entry's clock at which the run began.
        """
        self._losses.lost(keys.request, request_id, began_ms)
        for part in keys.parts:
            beside = frozenset(keys.parts) - {part}
            self._losses.lost(part, request_id, began_ms, beside)
            if self._losses.losses(part) == 1:
                self._served_before_by_part.pop(part, None)
            self._served_since(part)

    def served(self, keys: CrashKeys) -> None:
        """Clear the losses of a request that was served, and of its parts."""
        self._history.note_served(self._clock.now_ms(), keys.parts)
        for digest in (keys.request, *keys.parts):
            self._losses.served(digest)
            self._served_before_by_part.pop(digest, None)

    def losses(self, keys: CrashKeys) -> int:
        """Return the most losses in a row of the request or of a part."""
        return max(map(self._losses.losses, (keys.request, *keys.parts)))

    def _held_back(self, keys):
        """Yield the request, and the parts that may be the guilty ones."""
        yield keys.request
        for part in keys.parts:
            if not self._losses.has_quarantine(part):
                continue
            beside = self._losses.beside(part) or ()
            others = self._served_since(part)
            if is_held_back(part, beside, others, self._history):
                yield part

    def _served_since(self, part):
        """Return how many requests were served since the first loss."""
        now = self._history.total_ever
        return now - self._served_before_by_part.setdefault(part, now)
