"""HTTP/1.1 client that tells whether a request was sent."""

from dahliashunt.adapters.http1.bounds import Bound
from dahliashunt.adapters.http1.connection import ConnectFailed
from dahliashunt.adapters.http1.connection import End
from dahliashunt.adapters.http1.connection import HttpConnection
from dahliashunt.adapters.http1.connection import open_connection
from dahliashunt.adapters.http1.connection import ResponseHead
from dahliashunt.adapters.http1.fetch import exchange_whole
from dahliashunt.adapters.http1.fetch import HttpResponse
from dahliashunt.adapters.http1.pool import ConnectionPool
from dahliashunt.adapters.http1.pool import PoolExhausted
from dahliashunt.adapters.http1.request import encode_request

__all__ = [
    "Bound",
    "ConnectFailed",
    "ConnectionPool",
    "End",
    "HttpConnection",
    "HttpResponse",
    "PoolExhausted",
    "ResponseHead",
    "encode_request",
    "exchange_whole",
    "open_connection",
]
