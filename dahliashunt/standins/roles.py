"""Registry of the stand-ins' roles, and their options."""

from collections.abc import Mapping
from dataclasses import fields
import importlib
import random

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.decisions.registry import Registry
from dahliashunt.errors import SettingsError
from dahliashunt.ports.clock import Clock
from dahliashunt.standins.faults import StandinApp

__all__ = ["ROLES", "create_app", "parse_options"]

ROLES = Registry("stand-in role")
"""Functions from options, clock and random source to a `StandinApp`."""


def parse_options(kind: type, options: Mapping[str, object]):
    """Return a `kind` dataclass with `options` over its defaults.

    Raises
    ------
    SettingsError
        An option has no such name, or its value the wrong type.
    """
    types_by_name = {each.name: each.type for each in fields(kind)}
    values = {}
    for name, value in options.items():
        if name not in types_by_name:
            known = ", ".join(types_by_name)
            raise SettingsError(f"no option {name!r}; there are: {known}")
        values[name] = _convert(name, value, types_by_name[name])
    return kind(**values)


def _convert(name, value, wanted):
    try:
        if wanted is bool and isinstance(value, str):
            return {"true": True, "false": False}[value.lower()]
        return wanted(value)
    except (KeyError, ValueError, TypeError):
        raise SettingsError(
            f"option {name}: {value!r} is no {wanted.__name__}"
        ) from None


def create_app(
    role: str,
    options: Mapping[str, object] | None = None,
    clock: Clock | None = None,
    rng: random.Random | None = None,
) -> StandinApp:
    """Return the application of the stand-in `role`.

    Parameters
    ----------
    role : str
        One of `ROLES`.
    options : mapping of str to object, optional
        Over the role's defaults; text is converted.
    clock : Clock, optional
    rng : random.Random, optional
    """
    importlib.import_module("dahliashunt.standins")
    build = ROLES.get(role)
    return build(
        options or {}, clock or SystemClock(), rng or random.Random(0)
    )
