"""Decisions under load: pure code, events and time in, decisions out.

Public names are imported when they are first asked for. A program that
needs two of the modules would otherwise import all of them at its start,
which on a machine with a third of a core is a fifth of the time in which
nobody is served after a restart of everything.
"""

from importlib import import_module

_MODULE_BY_NAME = {
    "AgentDecisions": "agent",
    "AgentPolicy": "agent_policy",
    "BatchOrder": "batch_order",
    "BatchOrderPolicy": "batch_order",
    "BatchPlaces": "batch_places",
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


def __getattr__(name):
    """Import the module of a public name, once."""
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"{__name__} has no attribute {name}")
    found = getattr(import_module(f"{__name__}.{module}"), name)
    globals()[name] = found
    return found
