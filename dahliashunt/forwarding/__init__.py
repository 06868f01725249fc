"""Forward callers' requests to replicas and relay what they answer."""

from dahliashunt.forwarding.call import Call
from dahliashunt.forwarding.catalog import Catalog
from dahliashunt.forwarding.catalog import Engine
from dahliashunt.forwarding.catalog import IngressLimits
from dahliashunt.forwarding.catalog import Route
from dahliashunt.forwarding.catalog import RouteKind
from dahliashunt.forwarding.catalog import Service
from dahliashunt.forwarding.replicas import Replica
from dahliashunt.forwarding.replicas import ReplicaBook

__all__ = [
    "Call",
    "Catalog",
    "Engine",
    "IngressLimits",
    "Replica",
    "ReplicaBook",
    "Route",
    "RouteKind",
    "Service",
]
