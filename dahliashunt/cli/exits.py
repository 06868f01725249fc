"""Exit codes by kind of error, for scripts to act on."""

import enum

from dahliashunt.errors import DahliashuntError
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import Ran

__all__ = ["EXIT_BY_KIND", "CommandError", "Exit", "ReadError"]


class Exit(enum.IntEnum):
    """What the exit code of a command says."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    INVALID = 3
    NOT_ALLOWED = 4
    NOT_FOUND = 5
    CONFLICT = 6
    UNAVAILABLE = 7
    OUTCOME_UNKNOWN = 8
    OVER_LIMIT = 9
    FAILED = 10
    WAITED = 11
    INTERRUPTED = 130


EXIT_BY_KIND = {
    ErrorKind.BAD_REQUEST: Exit.INVALID,
    ErrorKind.UNAUTHENTICATED: Exit.NOT_ALLOWED,
    ErrorKind.NOT_PERMITTED: Exit.NOT_ALLOWED,
    ErrorKind.UNKNOWN_MODEL: Exit.NOT_FOUND,
    ErrorKind.NOT_FOUND: Exit.NOT_FOUND,
    ErrorKind.CONFLICT: Exit.CONFLICT,
    ErrorKind.KEY_REUSED: Exit.CONFLICT,
    ErrorKind.STILL_RUNNING: Exit.CONFLICT,
    ErrorKind.TOO_LARGE: Exit.OVER_LIMIT,
    ErrorKind.OVER_LIMIT: Exit.OVER_LIMIT,
    ErrorKind.OVERLOADED: Exit.UNAVAILABLE,
    ErrorKind.NO_ENDPOINT: Exit.UNAVAILABLE,
    ErrorKind.NOT_CONTINUABLE: Exit.UNAVAILABLE,
    ErrorKind.LEAVING: Exit.UNAVAILABLE,
    ErrorKind.CONVICTED: Exit.FAILED,
    ErrorKind.ENDPOINT_LOST: Exit.FAILED,
    ErrorKind.ENDPOINT_FAILED: Exit.FAILED,
    ErrorKind.OUTCOME_UNKNOWN: Exit.OUTCOME_UNKNOWN,
    ErrorKind.TIMED_OUT: Exit.UNAVAILABLE,
    ErrorKind.CANCELLED: Exit.FAILED,
    ErrorKind.STORE_UNAVAILABLE: Exit.UNAVAILABLE,
    ErrorKind.INTERNAL: Exit.INTERNAL,
}
"""Exit code by error kind; every member of `ErrorKind` has a row."""


class CommandError(DahliashuntError):
    """A command fails; its text is all that the user sees.

    Parameters
    ----------
    exit_code : Exit
    message : str
    ran : Ran
        Whether what was asked for was done.
    details : dict, optional
        The error object of the entry's answer.
    """

    def __init__(self, exit_code, message, ran=Ran.NO, details=None):
        super().__init__(message)
        self.exit_code = exit_code
        self.message = message
        self.ran = ran
        self.details = details or {}


class ReadError(CommandError):
    """A command that only reads fails: there is nothing to say of changes."""
