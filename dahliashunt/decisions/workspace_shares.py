"""Accounts of workspaces at one agent, and the order of waiting requests.

Load pattern
------------
A workspace sends several times its usual rate, within its limit, through a
peak in which the other workspaces need half of the slots or more.

What goes wrong without it
--------------------------
First come, first served gives each workspace slots in proportion to what it
sends. The hot one fills the queue of each agent, and the requests of all
others are refused or late.

How
---
`WorkspaceShares` is start-time fair queueing (`fair.FairOrder`) over tokens.
A grant is charged to the account of its workspace: the prompt's tokens plus
twice the stated maximum of the output, divided by the weight of its rank. At
the end the charge is corrected to the tokens that the time held is worth at
this replica, so that neither a high stated maximum nor a low one pays, and a
slot that was given back unused costs nothing.

Accounts decay with a half-life. What a workspace used while nobody waited
thus counts for a few hold times only. Virtual time advances only while
several workspaces wait: without a competitor no credit is lost. Workspaces
that are ahead by less than half of the largest lead go in the order of
arrival, so that small ones do not overtake one another.

An agent knows what it has granted itself and nothing else. No message is
sent. Two entries with the same workspace get the same share, since they ask
the same agents.

Memory: an account is evicted when it is settled or five half-lives old.

Complexity: O(1) for a charge; linear in the accounts and the waiting requests,
apart from sorting these, for their order.
"""

from collections.abc import Callable
from collections.abc import Iterable
import operator

from dahliashunt.decisions.fair import FairOrder
from dahliashunt.decisions.fair import InFlight
from dahliashunt.decisions.slot_messages import SlotRequest

__all__ = [
    "BATCH_HALF_LIFE_MS",
    "ONLINE_HALF_LIFE_MS",
    "WorkspaceShares",
    "request_tokens",
    "workspaces_over",
]

ONLINE_HALF_LIFE_MS = 1_000
"""Half-life in milliseconds of what was granted to online requests: longer
than a request holds its slot, and shorter than a peak."""

BATCH_HALF_LIFE_MS = 10_000
"""Half-life in milliseconds of what was granted to batch items: longer than
an item holds its slot, and shorter than the time in which it is due."""

OUTPUT_WEIGHT = 2
"""Cost of an output token in prompt tokens, as in `fair`."""

UNKNOWN_OUTPUT_TOKENS = 256
"""Output tokens of a request that states no maximum."""

OVER_SHARE = 1.5
"""Multiple of its share of the held and the waiting tokens above which a
workspace is over it. One request more than the others is no reason to refuse
a small workspace: among eight slots shares are a slot or two."""

EQUAL_LEAD_SHARE = 0.5
"""Share of the largest account's lead up to which workspaces are served in
the order of arrival. Small workspaces would otherwise overtake one another,
and requests that stand first would be late."""

MEAN_WEIGHT = 0.1
"""Weight of a new request in the moving averages."""

_FIRST = operator.itemgetter(0)


def request_tokens(prompt_tokens: int, output_tokens: int) -> int:
    """Return the cost of a request in tokens; unknown lengths are 0."""
    output_tokens = output_tokens or UNKNOWN_OUTPUT_TOKENS
    return max(0, prompt_tokens) + OUTPUT_WEIGHT * max(1, output_tokens)


def workspaces_over(requests: Iterable[SlotRequest]) -> set[int]:
    """Return the workspaces that are over their share of `requests`."""
    in_flight = InFlight(over=OVER_SHARE)
    workspaces = set()
    for each in requests:
        in_flight.add(each.workspace, _cost(each), _weight(each))
        workspaces.add(each.workspace)
    return {each for each in workspaces if in_flight.is_over(each)}


class WorkspaceShares:
    """Accounts of what was lately granted to each workspace.

    Parameters
    ----------
    half_life_ms : int
        Time in milliseconds after which half of a grant is forgotten.

    Examples
    --------
    >>> from dahliashunt.decisions.slot_messages import Use
    >>> shares = WorkspaceShares(1_000)
    >>> hot = [
    ...     SlotRequest(name, name, "e", Use.ONLINE, workspace=7)
    ...     for name in ("a", "b")
    ... ]
    >>> small = SlotRequest("c", "c", "e", Use.ONLINE, workspace=8)
    >>> shares.granted(hot[0], 0)
    >>> order = shares.order([*hot, small], 0, lambda request: 0)
    >>> [request.attempt_id for request in order]
    ['c', 'a', 'b']
    """

    def __init__(self, half_life_ms: int):
        self._accounts = FairOrder(half_life_ms)
        self._mean_cost = 0.0
        self._mean_held_ms = 0.0

    def __len__(self) -> int:
        """Return the number of accounts."""
        return len(self._accounts)

    def granted(self, request: SlotRequest, now_ms: int) -> None:
        """Charge `request` to its workspace."""
        self._accounts.tag(
            now_ms, request.workspace, _cost(request), _weight(request)
        )

    def ended(self, request: SlotRequest, held_ms: int) -> None:
        """Correct the charge of a request that held its slot `held_ms`."""
        cost = _cost(request)
        if not self._mean_held_ms:
            self._mean_cost, self._mean_held_ms = cost, max(1, held_ms)
        self._mean_cost += MEAN_WEIGHT * (cost - self._mean_cost)
        self._mean_held_ms += MEAN_WEIGHT * (held_ms - self._mean_held_ms)
        worth = held_ms * self._mean_cost / max(1.0, self._mean_held_ms)
        self._accounts.settle(
            request.workspace, worth - cost, _weight(request)
        )

    def start(self, workspace: int, now_ms: int) -> float:
        """Return the virtual start of a workspace's next request."""
        return self._accounts.start(now_ms, workspace)

    def lead_ms(
        self, request: SlotRequest, others, slots: int, now_ms: int
    ) -> int:
        """Return how long `slots` work on what a workspace is ahead, in ms.

        Parameters
        ----------
        request : SlotRequest
            Request of the workspace.
        others : iterable of SlotRequest
            Requests with which it competes.
        slots : int
        now_ms : int
        """
        starts = [self.start(each.workspace, now_ms) for each in others]
        if not starts or not self._mean_cost:
            return 0
        allowed = max(min(starts), self._allowed(now_ms))
        lead = max(0, self.start(request.workspace, now_ms) - allowed)
        tokens_per_ms = max(1, slots) * self._mean_cost / self._mean_held_ms
        return int(lead / tokens_per_ms)

    def order(
        self,
        requests: Iterable[SlotRequest],
        now_ms: int,
        precedence: Callable[[SlotRequest], tuple],
    ) -> list[SlotRequest]:
        """Return waiting requests in the order of their grants.

        Parameters
        ----------
        requests : iterable of SlotRequest
            In the order of their arrival.
        now_ms : int
        precedence : callable
            Returns the part of the order that goes before the shares; the
            lower goes first.
        """
        starts = self._starts(requests, now_ms, precedence)
        return [request for _, request in starts]

    def compete(self, requests: Iterable[SlotRequest], now_ms: int) -> None:
        """Advance virtual time before a grant to one of `requests`."""
        workspaces = {each.workspace for each in requests}
        if len(workspaces) > 1:
            starts = (self.start(each, now_ms) for each in workspaces)
            self._accounts.served(min(starts))

    def _allowed(self, now_ms):
        """Return the virtual start up to which all workspaces are equal."""
        lead = self._accounts.largest_lead(now_ms)
        return self._accounts.virtual + EQUAL_LEAD_SHARE * lead

    def _starts(self, requests, now_ms, precedence):
        allowed = self._allowed(now_ms)
        next_by_workspace = {}
        placed = [(precedence(request), request) for request in requests]
        placed.sort(key=_FIRST)
        starts = []
        for place, request in placed:
            workspace = request.workspace
            start = next_by_workspace.get(workspace)
            if start is None:
                start = self.start(workspace, now_ms)
            next_by_workspace[workspace] = start + _cost(request) / _weight(
                request
            )
            virtual = start if start > allowed else allowed
            starts.append(((place, virtual), request))
        starts.sort(key=_FIRST)
        return starts


def _cost(request):
    return request_tokens(request.prompt_tokens, request.output_tokens)


def _weight(request):
    """Return the weight of a rank: 1 for the most urgent, then 1/2, 1/3."""
    return 1.0 / (1 + max(0, request.rank))
