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
    >>> listed.sole(9_000, "llm", {"v2"}, 5_000) is None
    True
    >>> listed.sole(10_000, "llm", {"v2"}, 5_000)
    'v2'
    """

    def __init__(self):
        self._since_ms: int | None = None
        self._gone_ms_by_version: dict[tuple[str, str], int] = {}

    def restart(self, now_ms: int) -> None:
        """Record that earlier changes of the list may have been missed."""
        self._since_ms = now_ms

    def note_gone(
        self, now_ms: int, service: str, version: SoftwareVersion
    ) -> None:
        """Record that a replica with `version` has left the list."""
        self._gone_ms_by_version[service, version] = now_ms

    def sole(
        self, now_ms: int, service: str, listed, window_ms: int
    ) -> SoftwareVersion | None:
        """Return the one version that has served all through a window.

        Parameters
        ----------
        now_ms : int
        service : str
        listed : set of SoftwareVersion
            Versions of the service's replicas that are listed now.
        window_ms : int

        Returns
        -------
        SoftwareVersion or None
            None if there were several, one of them is unknown, or the list
            has not been followed all through the window.
        """
        if self._since_ms is None or now_ms - self._since_ms < window_ms:
            return None
        versions = set(listed)
        for (name, version), gone_ms in self._gone_ms_by_version.items():
            if name == service and now_ms - gone_ms < window_ms:
                versions.add(version)
        if len(versions) != 1:
            return None
        return versions.pop() or None
