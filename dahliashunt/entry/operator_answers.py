"""Answers to operators: who may ask, and errors in one shape."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import hmac

from blacksheep import Request
from blacksheep import Response
from blacksheep.server.responses import json as json_response
import structlog

from dahliashunt.entry.answers import error_response
from dahliashunt.entry.answers import store_out
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import PlatformError
from dahliashunt.errors import Ran
from dahliashunt.errors import RequestError
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.records import InvalidDocuments
from dahliashunt.records import RecordConflict
from dahliashunt.records import SchemaUnknown
from dahliashunt.records.fleet import Operator
from dahliashunt.records.kinds.policies import ROLES
from dahliashunt.records.schemas import EntryTooOld
from dahliashunt.records.views import conflict_view

__all__ = ["answer", "operator_error"]

_LOG = structlog.get_logger(__name__)
_RETRY_AFTER_MS = 2_000
_BOOTSTRAP = "bootstrap"

Handler = Callable[[Request, str], Awaitable[dict]]


def operator_error(error: RequestError) -> Response:
    """Return an error, with what an operator needs to mend it."""
    more = {}
    if isinstance(error, RecordConflict):
        more["conflicts"] = [conflict_view(c) for c in error.conflicts]
    if isinstance(error, InvalidDocuments):
        more["problems"] = [dataclasses.asdict(p) for p in error.problems]
    if _too_old(error):
        more["try_another_entry"] = True
    return error_response(error, more)


async def answer(
    request: Request, context, handler: Handler, roles: tuple[str, ...]
) -> Response:
    """Authenticate, run a handler, and turn any exception into an answer.

    Parameters
    ----------
    request : Request
    context : OperatorContext
    handler : callable
        Takes the request and its author.
    roles : tuple of str
        Any of these lets the operator in.

    Notes
    -----
    What the answer says of an unexpected exception is that there was one;
    its text and traceback go to the log only.
    """
    try:
        who = _authenticate(request, context, roles)
        return json_response(await handler(request, who), 200)
    except RequestError as error:
        return operator_error(error)
    except SchemaUnknown as error:
        return operator_error(EntryTooOld(str(error)))
    except WriteOutcomeUnknown:
        return error_response(
            RequestError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the answer of the table service was lost; send the change "
                "again with the same change id",
                Ran.UNKNOWN,
            )
        )
    except PlatformError as error:
        return error_response(store_out(error))
    except Exception:
        _LOG.exception("operator route failed", path=request.url.path)
        return error_response(
            RequestError(ErrorKind.INTERNAL, "internal error", Ran.UNKNOWN)
        )


def _authenticate(request, context, roles):
    """Return the author's name for the history."""
    header = request.get_first_header(b"Authorization") or b""
    scheme, _, key = header.decode("latin-1").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise RequestError(
            ErrorKind.UNAUTHENTICATED, "an operator's key is needed"
        )
    operator, key_id = _operator(key.strip(), context)
    if operator.roles.isdisjoint(roles):
        raise RequestError(
            ErrorKind.NOT_PERMITTED,
            f"this needs the role {' or '.join(roles)}",
        )
    return f"{operator.name}/{key_id}" if key_id else operator.name


def _operator(key, context):
    found = context.catalog.operator_by_key(key)
    if found is not None:
        return found
    sha256 = hashlib.sha256(key.encode()).hexdigest()
    bootstrap = context.bootstrap_key_sha256
    if bootstrap and hmac.compare_digest(sha256, bootstrap):
        return Operator(_BOOTSTRAP, _BOOTSTRAP, frozenset(ROLES)), ""
    raise RequestError(ErrorKind.UNAUTHENTICATED, "unknown operator key")


def _too_old(error):
    """Return whether an entry with a newer program may do it."""
    if isinstance(error, InvalidDocuments):
        return any(problem.too_old for problem in error.problems)
    return isinstance(error, EntryTooOld)
