"""What the system needs of the outside, as protocols without I/O."""

from dahliashunt.lazy import lazy_names

_MODULE_BY_NAME = {
    "Clock": "clock",
    "Engine": "engine",
    "InstanceList": "instances",
    "ObjectStore": "objects",
    "TableFeed": "table",
    "TableService": "table",
    "WeightStore": "weights",
}

__all__ = list(_MODULE_BY_NAME)

__getattr__ = lazy_names(__name__, _MODULE_BY_NAME)
