"""Choice of the agents to which an entry links.

Load pattern: hundreds of entries and thousands of agents.

Without it links between all of them multiply heartbeats, and each new
instance connects to hundreds of others.

How: each entry links to a bounded set, which it computes itself by
rendezvous hashing [1]_; when an agent leaves, only the entries linked to it
choose another one. Small fleets are linked in full.

References
----------
.. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase
   hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable
import hashlib

from dahliashunt.ids import EndpointId
from dahliashunt.ids import NodeId

__all__ = ["choose_links", "rendezvous_rank"]


def rendezvous_rank(node_id: NodeId, endpoint_id: EndpointId) -> int:
    """Return the rank of a pair; higher ranks are chosen first."""
    text = f"{node_id}\0{endpoint_id}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def choose_links(
    node_id: NodeId, endpoints: Iterable[EndpointId], limit: int
) -> frozenset[EndpointId]:
    """Return the endpoints to whose agents an entry links.

    Examples
    --------
    >>> sorted(choose_links("entry-1", ["a", "b"], 84))
    ['a', 'b']
    >>> len(choose_links("entry-1", [f"e{n}" for n in range(500)], 84))
    84

    Notes
    -----
    O(n log n) in the number of endpoints, when the list changes.
    """
    ranked = sorted(
        endpoints,
        key=lambda endpoint_id: rendezvous_rank(node_id, endpoint_id),
        reverse=True,
    )
    return frozenset(ranked[:limit])
