"""Forward callers' requests to replicas and relay the responses."""

from dahliashunt.lazy import lazy_names

_MODULE_BY_NAME = {
    "BrokenRoute": "catalog",
    "Call": "call",
    "Catalog": "catalog",
    "Engine": "catalog",
    "IngressLimits": "catalog",
    "Replica": "replicas",
    "ReplicaRegistry": "replicas",
    "Route": "catalog",
    "RouteKind": "catalog",
    "Service": "catalog",
}

__all__ = list(_MODULE_BY_NAME)

__getattr__ = lazy_names(__name__, _MODULE_BY_NAME)
