"""Quantities with units in settings: durations and sizes."""

import re
from typing import NewType

from dahliashunt.errors import SettingsError

__all__ = ["ByteSize", "Milliseconds", "parse_duration", "parse_size"]

Milliseconds = NewType("Milliseconds", int)
"""A duration; written like ``250ms``, ``2s``, ``1.5m`` or ``24h``."""

ByteSize = NewType("ByteSize", int)
"""A size in bytes; written like ``512B``, ``64KB`` or ``8MB``."""

_MS_BY_UNIT = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}
_BYTES_BY_UNIT = {"B": 1, "KB": 1000, "MB": 1000**2, "GB": 1000**3}
_QUANTITY = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)")


def _parse(text, factor_by_unit):
    match = _QUANTITY.fullmatch(str(text).strip())
    if match is None or match[2] not in factor_by_unit:
        units = ", ".join(factor_by_unit)
        raise SettingsError(f"{text!r} is not a number with a unit ({units})")
    return int(float(match[1]) * factor_by_unit[match[2]])


def parse_duration(text: str) -> Milliseconds:
    """Return the milliseconds that `text` states.

    Raises
    ------
    SettingsError
        There is no unit, or not one of time.

    Examples
    --------
    >>> parse_duration("1.5s")
    1500
    """
    return Milliseconds(_parse(text, _MS_BY_UNIT))


def parse_size(text: str) -> ByteSize:
    """Return the bytes that `text` states.

    Raises
    ------
    SettingsError
        There is no unit, or not one of size.

    Examples
    --------
    >>> parse_size("64KB")
    64000
    """
    return ByteSize(_parse(text, _BYTES_BY_UNIT))
