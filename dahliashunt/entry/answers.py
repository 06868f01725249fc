"""Turn errors into HTTP answers, one place for all routes."""

from contextvars import ContextVar
import functools
import json
import math
import uuid

from blacksheep import Content
from blacksheep import Response
import structlog

from dahliashunt.errors import ANSWERS
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import PlatformError
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ids import RequestId

__all__ = [
    "answered",
    "current_request_id",
    "error_body",
    "error_response",
    "json_response",
]

STORE_RETRY_MS = 2_000
REQUEST_ID_HEADER = b"X-Request-Id"

_request_id: ContextVar[RequestId] = ContextVar("request_id")

log = structlog.get_logger()


def current_request_id() -> RequestId:
    """Return the id of the request that the current task answers.

    Each answer carries it, and back ends get it as X-Origin-Request-Id:
    so a caller's "not run" can be held against what a back end counted.
    """
    return _request_id.get()


def json_response(body, status=200) -> Response:
    """Return `body` as a JSON answer."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return Response(status, None, Content(b"application/json", data))


def error_body(error: RequestError) -> dict:
    """Return the error in the OpenAI shape, with whether it ran."""
    return {
        "error": {
            "message": error.message,
            "type": ANSWERS[error.kind].type,
            "param": error.param,
            "code": error.kind.value,
            "ran": error.ran.value,
        }
    }


def error_response(error: RequestError, more: dict | None = None) -> Response:
    """Return the answer for `error`, with Retry-After where it helps.

    Parameters
    ----------
    error : RequestError
    more : dict, optional
        Members beside the usual ones of the error object.
    """
    answer = ANSWERS[error.kind]
    body = error_body(error)
    body["error"].update(more or {})
    response = json_response(body, answer.status)
    if answer.retry and error.retry_after_ms is not None:
        seconds = max(1, math.ceil(error.retry_after_ms / 1000))
        response.add_header(b"Retry-After", str(seconds).encode())
        response.add_header(
            b"Retry-After-Ms", str(error.retry_after_ms).encode()
        )
    return response


def store_out(error: PlatformError) -> RequestError:
    """Return what a caller is told when the platform fails."""
    if isinstance(error, WriteOutcomeUnknown):
        return RequestError(
            ErrorKind.STORE_UNAVAILABLE,
            "the platform's answer was lost; a resend finds out",
            Ran.UNKNOWN,
            STORE_RETRY_MS,
        )
    return RequestError(
        ErrorKind.STORE_UNAVAILABLE,
        "the platform's store cannot be reached",
        Ran.NO,
        STORE_RETRY_MS,
    )


def answered(handler):
    """Decorate a handler: whatever it raises becomes an answer.

    A traceback never reaches a caller; what was not foreseen is logged
    and answered as INTERNAL, whose outcome counts as unknown.
    """
    answer = _errors_answered(handler)

    @functools.wraps(handler)
    async def with_id(*args, **kwargs):
        request_id = RequestId(uuid.uuid4().hex)
        _request_id.set(request_id)
        response = await answer(*args, **kwargs)
        response.set_header(REQUEST_ID_HEADER, request_id.encode())
        return response

    return with_id


def _errors_answered(handler):
    async def answer(*args, **kwargs):
        try:
            return await handler(*args, **kwargs)
        except RequestError as error:
            return error_response(error)
        except PlatformError as error:
            return error_response(store_out(error))
        except Exception:
            log.exception("unforeseen")
            return error_response(
                RequestError(ErrorKind.INTERNAL, "internal error", Ran.UNKNOWN)
            )

    return answer
