"""Public names of a package, imported when they are first asked for.

A program that needs two modules of a package would otherwise import all of
them at its start. On a machine with a third of a core the import of
modules is most of a program's start, and so of the time in which nobody is
served after a restart of everything.
"""

from importlib import import_module
import sys

__all__ = ["lazy_names"]


def lazy_names(package: str, module_by_name: dict[str, str]):
    """Return a ``__getattr__`` for `package`.

    Parameters
    ----------
    package : str
        Full name of the package.
    module_by_name : dict
        The module of each public name, relative to the package.

    Examples
    --------
    >>> get = lazy_names("dahliashunt.ports", {"Clock": "clock"})
    >>> get("Clock").__name__
    'Clock'
    >>> get("Clocks")
    Traceback (most recent call last):
    ...
    AttributeError: dahliashunt.ports has no attribute Clocks
    """

    def find(name):
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f"{package} has no attribute {name}")
        found = getattr(import_module(f"{package}.{module}"), name)
        setattr(sys.modules[package], name, found)
        return found

    return find
