"""The command line of operators and batch users."""

from dahliashunt.cli.exits import CommandError
from dahliashunt.cli.exits import Exit

__all__ = ["CommandError", "Exit"]
