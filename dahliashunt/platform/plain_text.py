"""Short plain-text responses for ASGI applications."""

__all__ = ["send_text"]


async def send_text(send, status: int, body: bytes) -> None:
    """Send a complete response as plain text.

    Parameters
    ----------
    send : callable
        ASGI send callable.
    status : int
    body : bytes
    """
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", str(len(body)).encode()),
    ]
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": headers})
    await send({"type": "http.response.body", "body": body})
