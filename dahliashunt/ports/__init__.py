"""What the system needs of the outside, as protocols without I/O."""

from dahliashunt.ports.clock import Clock
from dahliashunt.ports.engine import Engine
from dahliashunt.ports.instances import InstanceList
from dahliashunt.ports.objects import ObjectStore
from dahliashunt.ports.table import TableFeed
from dahliashunt.ports.table import TableService
from dahliashunt.ports.weights import WeightStore

__all__ = [
    "Clock",
    "Engine",
    "InstanceList",
    "ObjectStore",
    "TableFeed",
    "TableService",
    "WeightStore",
]
