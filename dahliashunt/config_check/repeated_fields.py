"""Fields that an object of a configuration has twice.

JSON readers, those of the nodes among them, keep the last value and drop the
others without an error.
"""

from collections.abc import Iterator

from dahliashunt.config_check.config_file import ConfigFile
from dahliashunt.config_check.findings import Finding
from dahliashunt.config_check.findings import warn

__all__ = ["repeated_fields"]

_LISTS = ("routes", "services", "tenants")


def repeated_fields(config: ConfigFile) -> Iterator[Finding]:
    """Yield a warning for each object with a repeated field.

    The field is not named: it may be a key in the wrong place.
    """
    repeating = {id(each) for each in config.repeating}
    if not repeating:
        return
    for path, each in _objects(config.fields):
        if id(each) in repeating:
            yield warn(
                "repeated-field",
                path,
                "a field that stands twice, of which the last one counts",
                "each field once",
            )


def _objects(fields):
    """Yield the objects that the decoders read, with their paths."""
    if not isinstance(fields, dict):
        return
    yield (), fields
    yield ("limits",), fields.get("limits")
    for name in _LISTS:
        listed = fields.get(name)
        for at, each in enumerate(listed if isinstance(listed, list) else ()):
            yield (name, at), each
            if isinstance(each, dict):
                yield (name, at, "engine"), each.get("engine")
                yield from _shares((name, at, "traffic-split"), each)


def _shares(path, fields):
    shares = fields.get("traffic-split")
    for at, each in enumerate(shares if isinstance(shares, list) else ()):
        yield (*path, at), each
