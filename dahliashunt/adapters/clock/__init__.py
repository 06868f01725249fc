"""Clocks: the system's, and a virtual one for tests and simulations."""

from dahliashunt.lazy import lazy_names

_MODULE_BY_NAME = {
    "SystemClock": "system",
    "VirtualClock": "virtual",
}

__all__ = list(_MODULE_BY_NAME)

__getattr__ = lazy_names(__name__, _MODULE_BY_NAME)
