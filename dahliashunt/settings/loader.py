"""Read YAML settings into typed dataclasses, strictly.

A schema is a frozen dataclass. An unknown key, a missing one without
default, a wrong type or a wrong unit is a `SettingsError` that names file,
line and key. Nothing is guessed: ``"8080"`` is not an integer.
"""

import dataclasses
import enum
import pathlib
import types
import typing

import yaml

from dahliashunt.errors import SettingsError
from dahliashunt.settings.units import ByteSize
from dahliashunt.settings.units import Milliseconds
from dahliashunt.settings.units import parse_duration
from dahliashunt.settings.units import parse_size

__all__ = ["load_settings", "parse_settings"]

_PARSER_BY_UNIT = {Milliseconds: parse_duration, ByteSize: parse_size}
_SCALARS = {str: "text", int: "an integer", bool: "true or false"}


def load_settings(path, schema):
    """Read the file at `path` as an instance of `schema`.

    Parameters
    ----------
    path : str or pathlib.Path
    schema : type
        A dataclass.

    Raises
    ------
    SettingsError
        The file cannot be read or does not fit; the text starts with
        ``file:line: key``.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    return parse_settings(text, schema, str(path))


def parse_settings(text, schema, name="settings"):
    """Parse YAML `text` as an instance of `schema`.

    Examples
    --------
    >>> @dataclasses.dataclass(frozen=True)
    ... class Listen:
    ...     host: str
    ...     port: int = 0
    >>> parse_settings("host: 127.0.0.1", Listen)
    Listen(host='127.0.0.1', port=0)
    >>> parse_settings("prot: 1", Listen)  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    ...
    dahliashunt.errors.SettingsError: settings:1: prot: unknown key; ...
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        raise SettingsError(f"{name}: not YAML: {error}") from None
    if node is None:
        node = yaml.MappingNode("tag:yaml.org,2002:map", [])
        node.start_mark = yaml.Mark(name, 0, 0, 0, None, None)
    return _Reader(name).read(node, schema, "")


class _Reader:
    """Turns nodes into values, knowing where each came from."""

    def __init__(self, name):
        self._name = name

    def fail(self, node, key, why):
        line = node.start_mark.line + 1
        raise SettingsError(f"{self._name}:{line}: {key}: {why}")

    def read(self, node, kind, key):
        """Return `node` as a value of type `kind`."""
        origin = typing.get_origin(kind)
        if origin in (typing.Union, types.UnionType):
            return self._read_optional(node, kind, key)
        if dataclasses.is_dataclass(kind):
            return self._read_dataclass(node, kind, key)
        if origin is tuple:
            return self._read_list(node, typing.get_args(kind)[0], key)
        if origin is dict:
            return self._read_map(node, typing.get_args(kind)[1], key)
        if not isinstance(node, yaml.ScalarNode):
            self.fail(node, key, "a single value is wanted")
        return self._read_scalar(node, kind, key)

    def _read_optional(self, node, kind, key):
        if node.tag == "tag:yaml.org,2002:null":
            return None
        wanted = [a for a in typing.get_args(kind) if a is not type(None)]
        return self.read(node, wanted[0], key)

    def _read_dataclass(self, node, schema, key):
        if not isinstance(node, yaml.MappingNode):
            self.fail(node, key or "file", "keys and values are wanted")
        kinds = typing.get_type_hints(schema)
        fields = {f.name: f for f in dataclasses.fields(schema)}
        value_by_name = {}
        for key_node, value_node in node.value:
            name = key_node.value
            full = f"{key}.{name}" if key else name
            if name not in fields:
                known = ", ".join(fields)
                self.fail(key_node, full, f"unknown key; there are: {known}")
            if name in value_by_name:
                self.fail(key_node, full, "stands twice")
            value_by_name[name] = self.read(value_node, kinds[name], full)
        for name, field in fields.items():
            if name not in value_by_name and _is_required(field):
                full = f"{key}.{name}" if key else name
                self.fail(node, full, "is missing")
        return schema(**value_by_name)

    def _read_list(self, node, kind, key):
        if not isinstance(node, yaml.SequenceNode):
            self.fail(node, key, "a list is wanted")
        return tuple(
            self.read(item, kind, f"{key}[{at}]")
            for at, item in enumerate(node.value)
        )

    def _read_map(self, node, kind, key):
        if not isinstance(node, yaml.MappingNode):
            self.fail(node, key, "keys and values are wanted")
        return {
            name.value: self.read(value, kind, f"{key}.{name.value}")
            for name, value in node.value
        }

    def _read_scalar(self, node, kind, key):
        if kind in _PARSER_BY_UNIT:
            try:
                return _PARSER_BY_UNIT[kind](node.value)
            except SettingsError as error:
                self.fail(node, key, str(error))
        value = yaml.SafeLoader("").construct_object(node)
        if isinstance(kind, type) and issubclass(kind, enum.Enum):
            return self._read_enum(node, kind, key)
        if kind is float and type(value) in (int, float):
            return float(value)
        kind = getattr(kind, "__supertype__", kind)
        if type(value) is not kind:
            wanted = _SCALARS.get(kind, kind.__name__)
            self.fail(node, key, f"{node.value!r} is not {wanted}")
        return value

    def _read_enum(self, node, kind, key):
        for member in kind:
            if member.value == node.value:
                return member
        known = ", ".join(str(member.value) for member in kind)
        return self.fail(node, key, f"{node.value!r} is not one of {known}")


def _is_required(field):
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )
