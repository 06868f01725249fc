"""Tokens that the requests at one replica may take of its memory.

Load pattern
------------
Requests differ a hundredfold in prompt and output, and each takes memory for
its prompt at once and for its output as it is written. Most replicas run out
of slots long before memory; a few long requests reverse that.

What goes wrong without it
--------------------------
A replica whose requests exceed its memory crashes with all of them. Slots
alone do not prevent it, nor does the memory in use now: running requests
still grow up to their stated maximum.

How it works
------------
Each hold counts with its prompt plus stated maximum output, or with the
tokens that the replica's last report shows for its run if that is more. Runs
without a hold count as the report shows. Shared prompt parts count in full
for each request, since a part is shared only while it is cached. A request
of unknown size is not held back; it counts as the report shows.

A revoked run is not counted while it ends, like its slot: for that round trip
the output that the other requests have not written yet leaves room.

Complexity: linear in the holds for each check or list, quadratic for a
revocation.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from dahliashunt.decisions.slot_holds import Hold
from dahliashunt.decisions.slot_messages import SlotRequest
from dahliashunt.ids import RequestId

__all__ = ["MemoryReport", "ReplicaMemory"]

UNKNOWN = -1

FREE_STEPS = 128
"""Number of values of the published free memory. Agents send each change to
all entries; without steps every token that a run adds would be one."""


@dataclass(frozen=True, slots=True)
class MemoryReport:
    """Memory of a replica as reported by itself.

    Attributes
    ----------
    total_tokens : int
        Size of the memory; 0 if unknown.
    tokens_by_run : dict
        Tokens in memory of the running requests, where known.
    """

    total_tokens: int = 0
    tokens_by_run: dict[RequestId, int] = field(default_factory=dict)


@dataclass(slots=True)
class ReplicaMemory:
    """Count of the tokens that holds and other runs may take.

    Until a report states the size of the memory everything fits.
    """

    _report: MemoryReport = field(default_factory=MemoryReport)
    _unheld_tokens: int = 0

    def update(
        self, report: MemoryReport, unheld: Iterable[RequestId]
    ) -> None:
        """Record a report.

        Parameters
        ----------
        report : MemoryReport
        unheld : iterable of RequestId
            Running requests that have no hold.
        """
        self._report = report
        shown = report.tokens_by_run
        self._unheld_tokens = sum(shown.get(run_id, 0) for run_id in unheld)

    def exceeds_total(self, ask: SlotRequest) -> bool:
        """Return whether `ask` would not fit into the empty memory."""
        total = self._report.total_tokens
        return bool(total) and _stated_tokens(ask) > total

    def fits(self, ask: SlotRequest, holds: Collection[Hold]) -> bool:
        """Return whether `ask` fits beside `holds`."""
        return bool(self.fitting((ask,), holds))

    def fitting(
        self, asks: Iterable[SlotRequest], holds: Collection[Hold]
    ) -> list[SlotRequest]:
        """Return those of `asks` that fit, each alone, beside `holds`."""
        if not self._report.total_tokens:
            return list(asks)
        left = self._left(holds)
        return [ask for ask in asks if _stated_tokens(ask) <= max(0, left)]

    def free_tokens(self, holds: Collection[Hold]) -> int:
        """Return the memory left beside `holds`; -1 if unknown.

        It is rounded down to one of `FREE_STEPS` values.
        """
        total = self._report.total_tokens
        if not total:
            return UNKNOWN
        left = max(0, self._left(holds))
        return left - left % max(1, total // FREE_STEPS)

    def fewest_to_revoke(
        self,
        ask: SlotRequest,
        holds: Collection[Hold],
        revocable: Iterable[Hold],
        preferred: Callable[[list[Hold]], Hold],
    ) -> list[Hold]:
        """Return the fewest of `revocable` without which `ask` fits.

        At least one, and the `preferred` of those that do as well; none if
        `ask` does not fit without all of them.
        """
        lacking = self._lacking(ask, holds)
        left, chosen = list(revocable), []
        while left:
            able = [each for each in left if self._counted(each) >= lacking]
            if able:
                return [*chosen, preferred(able)]
            largest = max(left, key=self._counted)
            left.remove(largest)
            chosen.append(largest)
            lacking -= self._counted(largest)
        return []

    def _lacking(self, ask, holds):
        """Return by how many tokens `ask` does not fit; at most 0 if it does.

        Only a request of known size in a memory of known size can lack any.
        """
        stated = _stated_tokens(ask)
        if not (stated and self._report.total_tokens):
            return 0
        return stated - self._left(holds)

    def _left(self, holds):
        held = sum(map(self._counted, holds))
        return self._report.total_tokens - self._unheld_tokens - held

    def _counted(self, hold):
        shown = self._report.tokens_by_run.get(hold.ask.run_id, 0)
        return max(_stated_tokens(hold.ask), shown)


def _stated_tokens(ask):
    return ask.prompt_tokens + ask.output_tokens
