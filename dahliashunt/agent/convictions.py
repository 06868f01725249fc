"""Fingerprints of requests that crash endpoints, as an agent holds them.

A caller sends a poisoned request again to another entry, which has not
heard of it. Entries tell the agents that they link to; an agent passes
news on to its other entries at once, and refuses the fingerprint itself,
so that an entry which has not heard yet cannot crash this endpoint.
"""

from collections import OrderedDict

from dahliashunt.adapters.wire.gen.link.ttypes import Conviction
from dahliashunt.adapters.wire.gen.link.ttypes import Convictions as Message
from dahliashunt.adapters.wire.gen.link.ttypes import Frame

__all__ = ["Convictions"]

MAX_HELD = 2_000


class Convictions:
    """Convicted fingerprints and until when each is refused."""

    def __init__(self):
        self._until_ms_by: OrderedDict[str, int] = OrderedDict()

    def add(self, now: int, message: Message) -> Frame | None:
        """Take convictions; return a frame of what is to be passed on."""
        news = [
            conviction
            for conviction in message.convictions
            if not self.holds(now, conviction.fingerprint)
        ]
        for conviction in news:
            until_ms = now + conviction.for_ms
            self._until_ms_by[conviction.fingerprint] = until_ms
        while len(self._until_ms_by) > MAX_HELD:
            self._until_ms_by.popitem(last=False)
        suspects = message.suspects
        if not news and not suspects:
            return None
        passed_on = Message(convictions=news, suspects=suspects)
        return Frame(convictions=passed_on)

    def holds(self, now: int, fingerprint: str) -> bool:
        """Whether a fingerprint is to be refused."""
        until_ms = self._until_ms_by.get(fingerprint)
        return until_ms is not None and now < until_ms

    def frame(self, now: int) -> Frame | None:
        """Return all that hold now, for an entry that has just linked."""
        held = [
            Conviction(fingerprint=fingerprint, for_ms=until_ms - now)
            for fingerprint, until_ms in self._until_ms_by.items()
            if now < until_ms
        ]
        if not held:
            return None
        return Frame(convictions=Message(convictions=held))
