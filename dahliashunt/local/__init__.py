"""Every role in one process, for trying it: `dahliashunt-local`."""

from dahliashunt.local.fleet import serve_local

__all__ = ["serve_local"]
