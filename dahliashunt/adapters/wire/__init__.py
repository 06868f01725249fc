"""Links between the system's processes: thrift frames over TCP."""

from dahliashunt.lazy import lazy_names

_MODULE_BY_NAME = {
    "Closed": "connection",
    "Connection": "connection",
    "FrameReader": "codec",
    "Opened": "connection",
    "Received": "connection",
    "dial": "connection",
    "encode": "codec",
    "listen": "connection",
}

__all__ = list(_MODULE_BY_NAME)

__getattr__ = lazy_names(__name__, _MODULE_BY_NAME)
