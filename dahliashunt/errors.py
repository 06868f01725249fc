"""The exception tree, the closed list of error kinds, and their answers.

`ErrorKind` is the closed list: every refusal or failure that a caller can
see has one. `ANSWERS` maps each kind to its HTTP status, its ``code`` in
the OpenAI error dialect, and whether a resend can succeed.
"""

from dataclasses import dataclass
import enum

__all__ = [
    "ANSWERS",
    "Answer",
    "DahliashuntError",
    "EngineError",
    "EngineLost",
    "EngineUnreachable",
    "ErrorKind",
    "HistoryLost",
    "LinkError",
    "PlatformError",
    "PlatformUnavailable",
    "Ran",
    "RequestError",
    "SettingsError",
    "StaleFence",
    "StreamUnknown",
    "TransactionConflict",
    "WriteOutcomeUnknown",
]


class Ran(enum.Enum):
    """Whether a refused or failed request ran.

    ``NO`` is said only when it is proved that no endpoint started it.
    """

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(enum.Enum):
    """Closed list of the reasons for which a request gets an error."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_PERMITTED = "not_permitted"
    UNKNOWN_MODEL = "unknown_model"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    KEY_REUSED = "key_reused"
    STILL_RUNNING = "still_running"
    TOO_LARGE = "too_large"
    OVER_LIMIT = "over_limit"
    OVERLOADED = "overloaded"
    NO_ENDPOINT = "no_endpoint"
    NOT_CONTINUABLE = "not_continuable"
    LEAVING = "leaving"
    CONVICTED = "convicted"
    ENDPOINT_LOST = "endpoint_lost"
    ENDPOINT_FAILED = "endpoint_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    STORE_UNAVAILABLE = "store_unavailable"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller gets for one error kind.

    Attributes
    ----------
    status : int
        HTTP status code.
    type : str
        ``type`` member of the OpenAI error object.
    retry : bool
        Whether a resend can succeed; only then is Retry-After sent.
    """

    status: int
    type: str
    retry: bool


_INVALID = "invalid_request_error"
_SERVER = "server_error"
_RATE = "rate_limit_error"

ANSWERS = {
    ErrorKind.BAD_REQUEST: Answer(400, _INVALID, False),
    ErrorKind.UNAUTHENTICATED: Answer(401, "authentication_error", False),
    ErrorKind.NOT_PERMITTED: Answer(403, "permission_error", False),
    ErrorKind.UNKNOWN_MODEL: Answer(404, _INVALID, False),
    ErrorKind.NOT_FOUND: Answer(404, _INVALID, False),
    ErrorKind.CONFLICT: Answer(409, _INVALID, False),
    ErrorKind.KEY_REUSED: Answer(422, _INVALID, False),
    ErrorKind.STILL_RUNNING: Answer(409, _INVALID, True),
    ErrorKind.TOO_LARGE: Answer(413, _INVALID, False),
    ErrorKind.OVER_LIMIT: Answer(429, _RATE, True),
    ErrorKind.OVERLOADED: Answer(503, _SERVER, True),
    ErrorKind.NO_ENDPOINT: Answer(503, _SERVER, True),
    ErrorKind.NOT_CONTINUABLE: Answer(503, _SERVER, False),
    ErrorKind.LEAVING: Answer(503, _SERVER, True),
    ErrorKind.CONVICTED: Answer(422, _INVALID, False),
    ErrorKind.ENDPOINT_LOST: Answer(502, _SERVER, True),
    ErrorKind.ENDPOINT_FAILED: Answer(502, _SERVER, True),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, _SERVER, False),
    ErrorKind.TIMED_OUT: Answer(504, _SERVER, True),
    ErrorKind.CANCELLED: Answer(499, _INVALID, False),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, _SERVER, True),
    ErrorKind.INTERNAL: Answer(500, _SERVER, False),
}
"""Answer by error kind; every member of `ErrorKind` has a row."""


class DahliashuntError(Exception):
    """Base of every exception that this package raises itself."""


class SettingsError(DahliashuntError):
    """Settings are wrong; the text names file, line and key."""


class RequestError(DahliashuntError):
    """A request ends in an error that its caller is told.

    Parameters
    ----------
    kind : ErrorKind
        Why.
    message : str
        For the caller to read; never holds internals.
    ran : Ran
        Whether the request ran.
    retry_after_ms : int, optional
        When a resend can succeed.
    param : str, optional
        The field of the request that is wrong.
    """

    def __init__(
        self, kind, message, ran=Ran.NO, retry_after_ms=None, param=None
    ):
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.ran = ran
        self.retry_after_ms = retry_after_ms
        self.param = param


class LinkError(DahliashuntError):
    """A link between two of the system's processes failed."""


class PlatformError(DahliashuntError):
    """A call of the platform failed."""


class PlatformUnavailable(PlatformError):
    """The call had no effect: refused, or nothing was sent."""


class WriteOutcomeUnknown(PlatformError):
    """A write was sent and its answer lost: it may have taken effect."""


class TransactionConflict(PlatformError):
    """A condition of a transaction did not hold; nothing was written.

    Parameters
    ----------
    failed : tuple of str
        Keys whose condition did not hold.
    rows : tuple of Row
        Rows named by the conditions as they are, where the service tells.
    """

    def __init__(self, failed=(), rows=()):
        super().__init__(f"condition failed on {', '.join(failed)}")
        self.failed = tuple(failed)
        self.rows = tuple(rows)


class HistoryLost(PlatformError):
    """Changes after the named version are no longer kept: read anew."""


class EngineError(DahliashuntError):
    """A call of a back end failed."""


class EngineUnreachable(EngineError):
    """No connection could be made; nothing was sent."""


class EngineLost(EngineError):
    """The connection broke or fell silent after something was sent."""


class StreamUnknown(EngineError):
    """The engine does not know the stream that was to be resumed."""


class StaleFence(EngineError):
    """The engine refused an order that carried an old fence token."""
