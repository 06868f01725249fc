"""Workspaces of the configuration in force, by their keys."""

from collections.abc import Iterable
from dataclasses import dataclass

from dahliashunt.ids import WorkspaceId
from dahliashunt.key_digest import key_digest

__all__ = ["BrokenWorkspace", "Workspace", "Workspaces"]


@dataclass(frozen=True, slots=True)
class Workspace:
    """Who may send requests, and how many.

    Attributes
    ----------
    workspace_id : WorkspaceId
    digests : tuple of bytes
        Of its keys.
    rank : int or None
        Goes before the route's; 0 is the most urgent, None leaves it.
    rate : float
        Requests a second over all entries; 0 is no limit.
    burst : float
        Requests beyond the rate that may come at once.
    """

    workspace_id: WorkspaceId
    digests: tuple[bytes, ...]
    rank: int | None = None
    rate: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class BrokenWorkspace:
    """A workspace that can't be read.

    Attributes
    ----------
    name : str
        Empty where that can't be read either.
    digests : tuple of bytes or None
        Of its keys; None where these can't be read.
    reason : str
        Never holds a key.
    """

    name: str
    digests: tuple[bytes, ...] | None
    reason: str


class Workspaces:
    """Workspaces by the digests of their keys.

    A workspace that can't be read harms only itself: its keys are known as
    long as they can be read, and are refused as not run instead of unknown.

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
    A look-up is O(1) in the number of keys. Of two workspaces with one key
    the first one by name has it, on every entry alike.
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
        """Return whose key this is, or None."""
        return self._by_digest.get(key_digest(key))

    @property
    def knows_all_keys(self) -> bool:
        """Whether a key that is not here belongs to nobody."""
        return all(each.digests is not None for each in self.broken)
