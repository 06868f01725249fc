"""Check a configuration, alone or against another one."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace

from dahliashunt.config_check.config_file import ConfigFile
from dahliashunt.config_check.config_file import Decoded
from dahliashunt.config_check.differences import Difference
from dahliashunt.config_check.differences import differences
from dahliashunt.config_check.findings import Finding
from dahliashunt.config_check.findings import Severity
from dahliashunt.config_check.findings import warn
from dahliashunt.config_check.json_lines import LineIndex
from dahliashunt.config_check.limits import contradicting_limits
from dahliashunt.config_check.matches import unmatched_entries
from dahliashunt.config_check.repeated_fields import repeated_fields
from dahliashunt.config_check.substitutions import substituted_values

__all__ = ["Report", "check_config"]

MAX_NAME_CHARACTERS = 80
HIDDEN_NAME = "(a key)"


@dataclass(frozen=True, slots=True)
class Report:
    """Result of a check.

    Attributes
    ----------
    version : int or None
        None if nodes refuse the file.
    findings : tuple of Finding
        Errors first, then warnings, each in the order of the file's parts.
    differences : tuple of Difference or None
        None if there is nothing to compare with, or nodes refuse the file.
    """

    version: int | None
    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] | None = None

    def count(self, severity: Severity) -> int:
        """Return the number of findings of `severity`."""
        return sum(each.severity is severity for each in self.findings)


def check_config(
    config: ConfigFile,
    other: ConfigFile | None = None,
    is_in_force: bool = False,
) -> Report:
    """Return the report on `config`, compared with `other` if given.

    Parameters
    ----------
    config : ConfigFile
    other : ConfigFile or None
        Must be one that nodes do not refuse.
    is_in_force : bool
        Whether `other` is in force: nodes then ignore an older version.
    """
    decoded = config.decoded
    found = [*config.errors, *repeated_fields(config)]
    changes = None
    if decoded is not None:
        found += unmatched_entries(decoded)
        found += contradicting_limits(decoded)
        found += substituted_values(decoded)
        if other is not None:
            changes = tuple(differences(other.decoded, decoded))
            found += _version(decoded, other.decoded, changes, is_in_force)
    # A stable sort keeps the order within each severity.
    found.sort(key=lambda each: each.severity is not Severity.ERROR)
    version = decoded.records.revision if decoded is not None else None
    if not found and not changes:
        return Report(version, (), changes)
    keys = config.keys() | (other.keys() if other is not None else set())
    if changes is not None:
        changes = tuple(
            replace(each, name=_shown_name(each.name, keys))
            for each in changes
        )
    return Report(version, tuple(_located(config, found, keys)), changes)


def _version(
    new: Decoded, old: Decoded, changes, is_in_force
) -> Iterator[Finding]:
    """Yield a finding if nodes ignore `new` since its version is not newer."""
    version, in_force = new.records.revision, old.records.revision
    if version > in_force or (version == in_force and not changes):
        return
    finding = warn(
        "version-not-newer",
        ("version",),
        str(version),
        f"above {in_force}, or nodes that have that version ignore the file",
    )
    if is_in_force:
        finding = replace(finding, severity=Severity.ERROR)
    yield finding


def _located(config, findings, keys):
    """Return the findings with the lines and names of their entries."""
    if config.text is None or not findings:
        return findings
    paths = [each.path for each in findings]
    index = LineIndex(config.text, paths)
    return [
        replace(
            each,
            line=index.line(each.path),
            name=_entry_name(config.fields, each.path, keys),
        )
        for each in findings
    ]


def _entry_name(fields, path, keys):
    """Return the name of the entry of a list that `path` leads into."""
    try:
        name = fields[path[0]][path[1]]["name"]
    except (IndexError, KeyError, TypeError):
        return ""
    return _shown_name(name, keys) if isinstance(name, str) else ""


def _shown_name(name: str, keys: set[str]) -> str:
    """Return a name as a report may show it.

    A key may stand in the place of a name. Other characters than printable
    ones could control a terminal.
    """
    if name in keys:
        return HIDDEN_NAME
    shown = "".join(
        each if each.isprintable() else f"\\u{ord(each):04x}"
        for each in name[:MAX_NAME_CHARACTERS]
    )
    return shown + "..." if len(name) > MAX_NAME_CHARACTERS else shown
