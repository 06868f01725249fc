"""Registries of policies, with registration by decorator."""

from collections.abc import Callable
from collections.abc import Iterator

from dahliashunt.errors import DahliashuntError

__all__ = ["Registry", "UnknownPolicy"]


class UnknownPolicy(DahliashuntError):
    """No policy is registered under the given name."""


class Registry:
    """Callables registered by name.

    Parameters
    ----------
    kind : str
        Noun for the members, used in error messages.

    Examples
    --------
    >>> routing = Registry("routing policy")
    >>> @routing.register("first")
    ... def first(endpoints):
    ...     return endpoints[0]
    >>> routing.get("first") is first
    True
    """

    def __init__(self, kind: str):
        self._kind = kind
        self._by_name: dict[str, Callable] = {}

    def register(self, name: str) -> Callable:
        """Return a decorator that registers its argument as `name`."""

        def decorate(member):
            if name in self._by_name:
                raise ValueError(
                    f"{self._kind} {name!r} is already registered"
                )
            self._by_name[name] = member
            return member

        return decorate

    def get(self, name: str) -> Callable:
        """Return the member registered as `name`.

        Raises
        ------
        UnknownPolicy
            No member has that name; the message lists the registered names.
        """
        try:
            return self._by_name[name]
        except KeyError:
            known = ", ".join(sorted(self._by_name))
            raise UnknownPolicy(
                f"no {self._kind} {name!r}; there are: {known}"
            ) from None

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._by_name))
