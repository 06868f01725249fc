"""Routes of a stand-in as bound methods."""

from collections.abc import Awaitable
from collections.abc import Callable
import json as json_text

from blacksheep import Application
from blacksheep import json
from blacksheep import Request
from blacksheep import Response

__all__ = ["Handler", "add_routes", "error_answer", "read_json"]

Handler = Callable[[Request], Awaitable[Response]]


def add_routes(app: Application, handler_by_route: dict[str, Handler]):
    """Route each ``"METHOD /pattern"`` to its handler.

    Blacksheep marks its handlers with attributes and reads their
    signatures, neither of which a bound method of any signature allows.
    """
    for route, handler in handler_by_route.items():
        method, pattern = route.split()
        app.router.add(method, pattern, _as_function(handler))


def error_answer(status: int, message: str, code: str) -> Response:
    """Return an error in the OpenAI dialect."""
    error = {
        "message": message,
        "type": "invalid_request_error",
        "param": None,
        "code": code,
    }
    return json({"error": error}, status=status)


async def read_json(request: Request):
    """Return a request's JSON value, whatever its content type says.

    Raises
    ------
    _UnreadableBody
        It has none; the route then answers 400.
    """
    try:
        return json_text.loads(await request.read() or b"")
    except ValueError as error:
        raise _UnreadableBody(str(error)) from error


class _UnreadableBody(Exception):
    """A request has no JSON body where it must."""


def _as_function(handler: Handler):
    async def handle(request: Request) -> Response:
        try:
            return await handler(request)
        except _UnreadableBody as error:
            return json({"error": str(error)}, status=400)

    return handle
