"""Workspaces of a configuration and their keys."""

from collections.abc import Iterable
from dataclasses import dataclass
import hashlib

from dahliashunt.ids import WorkspaceId
from dahliashunt.key_digest import key_digest

__all__ = [
    "BrokenWorkspace",
    "Workspace",
    "Workspaces",
    "workspace_digest",
]


def workspace_digest(workspace_id: WorkspaceId) -> int:
    """Return the number that names a workspace on the wire.

    No workspace, an empty id, has the digest 0.
    """
    if not workspace_id:
        return 0
    digest = hashlib.blake2b(workspace_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, signed=True)


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with its keys and limits.

    Attributes
    ----------
    workspace_id : WorkspaceId
    digests : tuple of bytes
        Digests of its keys.
    rank : int or None
        Overrides the route's rank unless None; 0 is the most urgent.
    rate : float
        Requests per second over all entries; 0 is no limit.
    burst : float
        Requests beyond the rate that may arrive at once.
    """

    workspace_id: WorkspaceId
    digests: tuple[bytes, ...]
    rank: int | None = None
    rate: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class BrokenWorkspace:
    """Workspace of the configuration that can't be decoded.

    Attributes
    ----------
    name : str
        Empty if undecodable too.
    digests : tuple of bytes or None
        Digests of its keys; None if undecodable too.
    reason : str
        Never contains a key.
    """

    name: str
    digests: tuple[bytes, ...] | None
    reason: str


class Workspaces:
    """Workspaces by the digests of their keys.

    Requests with a key of a workspace that can't be decoded are refused as
    not run instead of unauthenticated.

    Parameters
    ----------
    workspaces : iterable of Workspace
    broken : iterable of BrokenWorkspace

    Attributes
    ----------
    by_id : dict
    broken : tuple of BrokenWorkspace

    Examples
    --------
    >>> one = Workspace("w", (key_digest("secret"),))
    >>> Workspaces([one]).find_by_key("secret") is one
    True
    >>> Workspaces([one]).find_by_key("other") is None
    True

    Notes
    -----
    A look-up is O(1) in the number of keys. A key of several workspaces
    belongs to the first by name, so that all entries agree.
    """

    def __init__(
        self,
        workspaces: Iterable[Workspace],
        broken: Iterable[BrokenWorkspace] = (),
    ):
        self.by_id = {each.workspace_id: each for each in workspaces}
        self.broken = tuple(broken)
        self._by_digest: dict[bytes, Workspace | BrokenWorkspace] = {}
        for each in self.broken:
            for digest in each.digests or ():
                self._by_digest[digest] = each
        for _, each in sorted(self.by_id.items(), reverse=True):
            for digest in each.digests:
                self._by_digest[digest] = each

    def find_by_key(self, key: str) -> Workspace | BrokenWorkspace | None:
        """Return the workspace of `key`, or None."""
        return self.find_by_digest(key_digest(key))

    def find_by_digest(
        self, digest: bytes
    ) -> Workspace | BrokenWorkspace | None:
        """Return the workspace of the key with `digest`, or None."""
        return self._by_digest.get(digest)

    @property
    def knows_all_keys(self) -> bool:
        """Whether every workspace's keys could be decoded."""
        return all(each.digests is not None for each in self.broken)
