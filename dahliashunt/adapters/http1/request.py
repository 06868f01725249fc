"""Encode HTTP/1.1 requests."""

__all__ = ["encode_request"]


def encode_request(
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
) -> bytes:
    r"""Return an encoded request with a body of known length.

    Parameters
    ----------
    method, target : str
        Method and request target of the request line.
    headers : list of pairs
        Names and values; Content-Length is added.
    body : bytes

    Examples
    --------
    >>> encode_request("GET", "/a", [("Host", "h")])
    b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
