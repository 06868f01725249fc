"""Header names of the platform, in lower case as parsers give them."""

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
    "SIGNATURE",
    "TOKENS",
    "WORKSPACE",
]

REQUEST_ID = "dahliashunt-request-id"

BUDGET = "dahliashunt-request-timeout-ms"
"""How long the caller still waits; towards a replica, what is left."""

EXPECTED_REPLICA = "dahliashunt-expect-instance"
"""A replica; the platform says instance where we say replica."""

ANSWERED_BY = "dahliashunt-instance-id"
NOT_RUN = "dahliashunt-not-executed"
SIGNATURE = "dahliashunt-response-seal"
PROMPT_PARTS = "dahliashunt-prompt-prefix"
TOKENS = "dahliashunt-token-usage"
LAST_EVENT = "last-event-id"
POLL_WAIT = "dahliashunt-poll-wait-ms"

AUTHORIZATION = "authorization"
KEY_SCHEME = "Token"
"""Callers send ``Authorization: Token KEY``."""

WORKSPACE = "dahliashunt-tenant"
"""Set here alone; the platform says tenant where we say workspace."""

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
"""Headers of one connection, never passed on; the length is set anew."""
