"""Settings file of the platform, decoded and checked."""

from dataclasses import dataclass
from dataclasses import field
import json
import pathlib

from dahliashunt.errors import SettingsError
from dahliashunt.ids import DataCentreId
from dahliashunt.ids import NodeId
from dahliashunt.recent_lines import RecentLines

__all__ = [
    "Address",
    "LaunchOptions",
    "PlatformBounds",
    "PlatformSettings",
    "StoreSettings",
    "load_settings",
]

Address = tuple[str, int]

CONTACT_MS = 3_000
HEARTBEAT_MS = 1_200
"""The platform's bounds where its settings state none."""

DESCRIPTORS = 4_096
"""Descriptors of a process whose settings state none."""


@dataclass(frozen=True, slots=True)
class PlatformBounds:
    """Time limits and tolerances that the platform sets.

    Attributes
    ----------
    termination_grace_ms : int
        Time from SIGTERM to SIGKILL.
    drain_ms : int
        Time for which a leaving replica continues to serve.
    config_apply_ms : int
        Time within which a new configuration takes effect.
    cancel_ms : int
        Time after which no item of a cancelled batch job starts.
    result_retention_ms : int
        Time for which results stay readable.
    limit_slack : float
        Requests by which a workspace may exceed its limit in a window.
    contact_ms : int
        Time after an impairment of a node for which bounds of time do not
        hold for it.
    heartbeat_ms : int
        Interval at which replicas renew their rows.
    """

    termination_grace_ms: int
    drain_ms: int
    config_apply_ms: int
    cancel_ms: int
    result_retention_ms: int
    limit_slack: float = 0.0
    contact_ms: int = CONTACT_MS
    heartbeat_ms: int = HEARTBEAT_MS


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The store's address and limits.

    Attributes
    ----------
    address : Address
    row_bytes, object_bytes : int
        Maximum size of a row's value and of an object, in bytes.
    """

    address: Address
    row_bytes: int
    object_bytes: int


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one process.

    Attributes
    ----------
    node_id : NodeId
    data_centre : DataCentreId
    ip : str
    callers, readiness : Address or None
        Addresses on which an entry listens.
    first_port, last_port : int
        Ports for traffic between entries and agents.
    replica : Address or None
        The replica on an agent's machine; None for an entry.
    store : StoreSettings
    bounds : PlatformBounds
    memory_mb : int
    cores : float
        CPU share times the number of cores.
    descriptors : int
    """

    node_id: NodeId
    data_centre: DataCentreId
    ip: str
    callers: Address | None
    readiness: Address | None
    first_port: int
    last_port: int
    replica: Address | None
    store: StoreSettings
    bounds: PlatformBounds
    memory_mb: int
    cores: float
    descriptors: int


@dataclass(frozen=True, slots=True)
class LaunchOptions:
    """Settings and command-line options of a program.

    Attributes
    ----------
    path : str
        The settings file, which is read again when it changes.
    settings : PlatformSettings
        Content of the file at start-up.
    metrics_port : int
        Port on which metrics are served; 0 disables them.
    rate_limit_policy : str
        Name of the policy that enforces workspaces' limits.
    recent : RecentLines
        Log lines written recently.
    """

    path: str
    settings: PlatformSettings
    metrics_port: int = 0
    recent: RecentLines = field(default_factory=RecentLines)
    rate_limit_policy: str = "metered"


class _Reader:
    """Reads keys of nested objects; errors name the full key path."""

    def __init__(self, path, table, prefix=""):
        self._path = path
        self._table = table
        self._prefix = prefix

    def fail(self, key, reason):
        raise SettingsError(f"{self._path}: {self._prefix}{key}: {reason}")

    def table(self, key):
        value = self._table.get(key)
        if not isinstance(value, dict):
            self.fail(key, "expected an object")
        return _Reader(self._path, value, f"{self._prefix}{key}.")

    def text(self, key):
        value = self._table.get(key)
        if not isinstance(value, str) or not value:
            self.fail(key, "expected a non-empty string")
        return value

    def number(self, key, default=None):
        value = self._table.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.fail(key, "expected a number")
        if value < 0:
            self.fail(key, f"expected a number >= 0, got {value}")
        return value

    def milliseconds(self, key, per_unit=1):
        return int(self.number(key) * per_unit)

    def address(self, key, optional=False):
        if optional and not self._table.get(key):
            return None
        host, _, port = self.text(key).rpartition(":")
        if not host or not port.isdigit():
            self.fail(key, "expected HOST:PORT")
        return (host, int(port))

    def ports(self, key):
        value = self._table.get(key)
        if (
            not isinstance(value, list)
            or len(value) != 2
            or not all(type(port) is int for port in value)
            or value[0] >= value[1]
        ):
            self.fail(key, "expected [FIRST, LAST] ports")
        return value


def load_settings(path: str) -> PlatformSettings:
    """Read the settings file at `path`.

    Unknown keys are ignored, so that the platform can add new ones.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a key is missing or invalid. The
        message names the file and the key.
    """
    try:
        table = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from None
    if not isinstance(table, dict):
        raise SettingsError(f"{path}: expected an object")
    return _read(_Reader(path, table))


def _read(reader):
    listen = reader.table("listen")
    limits = reader.table("limits")
    first_port, last_port = reader.ports("port-range")
    return PlatformSettings(
        node_id=NodeId(reader.text("node-name")),
        data_centre=DataCentreId(reader.text("zone")),
        ip=reader.text("ip"),
        callers=listen.address("front", optional=True),
        readiness=listen.address("ready", optional=True),
        first_port=first_port,
        last_port=last_port,
        replica=reader.address("app", optional=True),
        store=_store(reader.table("platform")),
        bounds=_bounds(
            reader.table("bounds"),
            int(reader.number("heartbeat-ms", default=HEARTBEAT_MS)),
        ),
        memory_mb=int(limits.number("memory-mb")),
        cores=limits.number("cpu-share") * limits.number("cores"),
        descriptors=int(limits.number("fds", default=DESCRIPTORS)),
    )


def _store(reader):
    return StoreSettings(
        address=reader.address("address"),
        row_bytes=int(reader.number("row-bytes")),
        object_bytes=int(reader.number("blob-bytes")),
    )


def _bounds(reader, heartbeat_ms):
    return PlatformBounds(
        termination_grace_ms=reader.milliseconds("grace-s", 1000),
        drain_ms=reader.milliseconds("drain-ms"),
        config_apply_ms=reader.milliseconds("config-apply-ms"),
        cancel_ms=reader.milliseconds("cancel-ms"),
        result_retention_ms=reader.milliseconds("status-s", 1000),
        limit_slack=reader.number("quota-slack", default=0.0),
        contact_ms=int(reader.number("contact-ms", default=CONTACT_MS)),
        heartbeat_ms=heartbeat_ms,
    )
