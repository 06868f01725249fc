"""The platform's side, small enough for tests and trials.

Written from the platform's pages: its store, its replicas, and settings
as it hands them to a process.
"""

from dahliashunt.platform.standins.replica import ReplicaStandin
from dahliashunt.platform.standins.replica import Step
from dahliashunt.platform.standins.settings import settings_fields
from dahliashunt.platform.standins.store import StoreStandin
from dahliashunt.platform.standins.store import Trouble

__all__ = [
    "ReplicaStandin",
    "Step",
    "StoreStandin",
    "Trouble",
    "settings_fields",
]
