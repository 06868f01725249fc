"""Header names of the platform, in lower case as the parser yields them."""

__all__ = [
    "ANSWERED_BY",
    "AUTHORIZATION",
    "BUDGET",
    "EXPECTED_REPLICA",
    "HOP_BY_HOP",
    "KEY_SCHEME",
    "LAST_EVENT",
    "NOT_RUN",
    "POLL_WAIT",
    "PROMPT_PARTS",
    "REQUEST_ID",
    "RESUMES",
    "SIGNATURE",
    "TOKENS",
    "WHITESPACE",
    "WORKSPACE",
]

REQUEST_ID = "dahliashunt-request-id"

BUDGET = "dahliashunt-request-timeout-ms"
"""Time that the caller still waits, or that remains for a replica, in ms."""

EXPECTED_REPLICA = "dahliashunt-expect-instance"
"""Id of the replica that must serve the request; others refuse it."""

ANSWERED_BY = "dahliashunt-instance-id"
NOT_RUN = "dahliashunt-not-executed"
SIGNATURE = "dahliashunt-response-seal"
PROMPT_PARTS = "dahliashunt-prompt-prefix"
TOKENS = "dahliashunt-token-usage"
LAST_EVENT = "last-event-id"

RESUMES = "resumes"
"""Id of the caller's attempt that brought the first event of a stream."""

POLL_WAIT = "dahliashunt-poll-wait-ms"

AUTHORIZATION = "authorization"
KEY_SCHEME = "Token"
"""Authentication scheme: ``Authorization: Token KEY``."""

WORKSPACE = "dahliashunt-tenant"
"""Workspace of a request, set by the entry; callers' values are dropped."""

WHITESPACE = " \t"
"""Optional whitespace around the parts of a header's value (RFC 9110, section
5.6.3). `str.strip` removes characters of the value as well."""

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
"""Headers that are not forwarded; the content length is set again."""
