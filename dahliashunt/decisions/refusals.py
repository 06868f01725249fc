"""Messages sent to callers, by kind of refusal."""

from dahliashunt.errors import ErrorKind

__all__ = ["MESSAGE_BY_KIND"]

MESSAGE_BY_KIND = {
    ErrorKind.CONVICTED: "this request crashed the endpoints that ran it",
    ErrorKind.NO_ENDPOINT: "no endpoint holds this model now",
    ErrorKind.OVERLOADED: "too much work is waiting; come back later",
    ErrorKind.OVER_LIMIT: "the caller's token limit is used up",
    ErrorKind.TIMED_OUT: "the time to the first token is over",
    ErrorKind.ENDPOINT_LOST: "the endpoint was lost",
    ErrorKind.ENDPOINT_FAILED: "the endpoint failed",
    ErrorKind.OUTCOME_UNKNOWN: "the endpoint was lost; it may have run",
}
