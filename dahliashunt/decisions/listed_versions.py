"""Software versions that have been listed for each service.

Load pattern: callers take up streams whose notes were lost with the nodes
that had them, mostly while a single version serves.

Without it all of them would be refused, though there is no doubt about the
version at which their streams began.
"""

from dahliashunt.ids import SoftwareVersion

__all__ = ["ListedVersions"]


class ListedVersions:
    """Versions that are gone from the list, and when they were last there.

    Examples
    --------
    >>> listed = ListedVersions()
    >>> listed.restart(0)
    >>> listed.note_gone(5_000, "llm", "v1")
    >>> sorted(listed.gone_since(4_000, "llm"))
    ['v1']
    >>> listed.covers(4_000)
    True
    """

    def __init__(self):
        self._since_ms: int | None = None
        self._gone_ms_by_version: dict[tuple[str, str], int] = {}

    def restart(self, now_ms: int) -> None:
        """Record that earlier changes of the list may have been missed."""
        self._since_ms = now_ms

    def covers(self, from_ms: int) -> bool:
        """Return whether every change since `from_ms` was read."""
        return self._since_ms is not None and self._since_ms <= from_ms

    def note_gone(
        self, now_ms: int, service: str, version: SoftwareVersion
    ) -> None:
        """Record that a replica with `version` has left the list."""
        self._gone_ms_by_version[service, version] = now_ms

    def gone_since(self, from_ms: int, service: str) -> set[SoftwareVersion]:
        """Return the versions of replicas that left since `from_ms`."""
        return {
            version
            for (name, version), gone_ms in self._gone_ms_by_version.items()
            if name == service and gone_ms > from_ms
        }
