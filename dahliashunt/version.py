"""The program's version and the versions of its interfaces."""

__all__ = ["LINK_VERSION", "VERSION"]

VERSION = "0.1.0"

LINK_VERSION = 1
"""Version of the frames between the system's processes (link.thrift)."""
