"""Listening sockets for the HTTP servers."""

import socket

__all__ = ["BACKLOG", "listening_socket"]

BACKLOG = 2048

RECEIVE_BYTES = 131_072
"""Bytes that the system receives for a connection that is not read: without
a bound it grows to several megabytes each."""


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a listening TCP socket; port 0 binds a free one.

    Notes
    -----
    asyncio disables Nagle's algorithm [1]_ only on sockets whose protocol
    is TCP, which those of `socket.create_server` do not name. With it, the
    second small write of a response waits for a delayed acknowledgement.

    References
    ----------
    .. [1] J. Nagle, "Congestion control in IP/TCP internetworks",
       RFC 896, 1984.
    """
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Connections have the option of the socket that accepts them.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    return listener
