"""Values that nodes accept, and take for something else than is written."""

from collections.abc import Iterator

from dahliashunt.config_check.config_file import Decoded
from dahliashunt.config_check.findings import describe_value
from dahliashunt.config_check.findings import Finding
from dahliashunt.config_check.findings import warn
from dahliashunt.forwarding.catalog import Route
from dahliashunt.platform.catalog_records import ROUTE_KIND_BY_NAME

__all__ = ["substituted_values"]

_FLAGS = ("resumable", "public")


def substituted_values(config: Decoded) -> Iterator[Finding]:
    """Yield a warning for each value that has another meaning to nodes."""
    for at, route in enumerate(config.records.routes):
        if not isinstance(route, Route):
            continue
        fields = config.fields["routes"][at]
        if fields["kind"] not in ROUTE_KIND_BY_NAME:
            yield warn(
                "unknown-kind",
                ("routes", at, "kind"),
                "an unknown kind, which counts as non_idempotent",
                "one of " + ", ".join(ROUTE_KIND_BY_NAME),
            )
        for name in _FLAGS:
            value = fields.get(name)
            if value is not None and not isinstance(value, bool):
                meaning = "true" if value else "false"
                yield warn(
                    "not-a-flag",
                    ("routes", at, name),
                    f"{describe_value(value, True)}, which counts as"
                    f" {meaning}",
                    "true or false",
                )
