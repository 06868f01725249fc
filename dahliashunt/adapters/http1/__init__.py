"""HTTP/1.1 client connections whose every byte is accounted for."""

from dahliashunt.adapters.http1.connection import ConnectFailed
from dahliashunt.adapters.http1.connection import End
from dahliashunt.adapters.http1.connection import HttpConnection
from dahliashunt.adapters.http1.connection import open_connection
from dahliashunt.adapters.http1.connection import ResponseHead
from dahliashunt.adapters.http1.pool import ConnectionPool
from dahliashunt.adapters.http1.request import encode_request
from dahliashunt.adapters.http1.whole import exchange_whole
from dahliashunt.adapters.http1.whole import WholeResponse

__all__ = [
    "ConnectFailed",
    "ConnectionPool",
    "End",
    "HttpConnection",
    "ResponseHead",
    "WholeResponse",
    "encode_request",
    "exchange_whole",
    "open_connection",
]
