"""In-memory stand-ins of the platform, for tests and simulations.

They cover its store, its replicas, its callers and the settings that it
passes to a process.
"""

from dahliashunt.platform.standins.endless import Endless
from dahliashunt.platform.standins.endless import EndlessPeer
from dahliashunt.platform.standins.replica import ReplicaStandin
from dahliashunt.platform.standins.replica import Step
from dahliashunt.platform.standins.settings import settings_fields
from dahliashunt.platform.standins.store import StoreStandin
from dahliashunt.platform.standins.store import Trouble

__all__ = [
    "Endless",
    "EndlessPeer",
    "ReplicaStandin",
    "Step",
    "StoreStandin",
    "Trouble",
    "settings_fields",
]
