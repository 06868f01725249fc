"""Load decisions without I/O: events and time in, decisions out."""

from dahliashunt.lazy import lazy_names

_MODULE_BY_NAME = {
    "AgentDecisions": "agent",
    "AgentPolicy": "agent_policy",
    "BatchOrder": "batch_order",
    "BatchOrderPolicy": "batch_order",
    "BatchPlacement": "batch_placement",
    "BatchSuspects": "batch_suspects",
    "EntryDecisions": "entry",
    "EntryPolicy": "entry_policy",
    "PROFILES": "agent_policy",
    "Placement": "placement",
    "PlacementPolicy": "replica_targets",
    "Registry": "registry",
    "choose_links": "link_choice",
}

__all__ = list(_MODULE_BY_NAME)

__getattr__ = lazy_names(__name__, _MODULE_BY_NAME)
