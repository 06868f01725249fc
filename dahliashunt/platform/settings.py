"""The platform's settings file, as typed settings of this package."""

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


@dataclass(frozen=True, slots=True)
class PlatformBounds:
    """Times that the platform promises or asks for, in milliseconds.

    Attributes
    ----------
    termination_grace_ms : int
        From SIGTERM to SIGKILL.
    drain_ms : int
        A leaving replica goes on serving for so long.
    config_apply_ms : int
        Within it a configuration is in force.
    cancel_ms : int
        Within it a cancelled batch job's items no longer start.
    result_retention_ms : int
        How long results stay readable.
    limit_slack : float
        Requests by which a workspace may be above its limit in a window.
    """

    termination_grace_ms: int
    drain_ms: int
    config_apply_ms: int
    cancel_ms: int
    result_retention_ms: int
    limit_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The store's address and limits.

    Attributes
    ----------
    address : Address
    row_bytes, object_bytes : int
        Longest value of a row, and longest object.
    """

    address: Address
    row_bytes: int
    object_bytes: int


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What a process is told at its start.

    Attributes
    ----------
    node_id : NodeId
    data_centre : DataCentreId
    ip : str
    callers, readiness : Address or None
        Where an entry listens.
    first_port, last_port : int
        For traffic between the system's own nodes.
    replica : Address or None
        Of an agent: the replica on its machine.
    store : StoreSettings
    bounds : PlatformBounds
    memory_mb : int
    cores : float
        Share of one core, times its speed.
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


@dataclass(frozen=True, slots=True)
class LaunchOptions:
    """How a program was started.

    Attributes
    ----------
    path : str
        The settings file, to be read again.
    settings : PlatformSettings
        What it held.
    metrics_port : int
        Where metrics are served; 0 for nowhere.
    rate_limit_policy : str
        Policy by which workspaces are held to their limits.
    recent : RecentLines
        What it has logged of late.
    """

    path: str
    settings: PlatformSettings
    metrics_port: int = 0
    recent: RecentLines = field(default_factory=RecentLines)
    rate_limit_policy: str = "metered"


class _Reader:
    """Reads keys of nested tables; an error names the whole key."""

    def __init__(self, path, table, prefix=""):
        self._path = path
        self._table = table
        self._prefix = prefix

    def fail(self, key, reason):
        raise SettingsError(f"{self._path}: {self._prefix}{key}: {reason}")

    def table(self, key):
        value = self._table.get(key)
        if not isinstance(value, dict):
            self.fail(key, "a table is wanted")
        return _Reader(self._path, value, f"{self._prefix}{key}.")

    def text(self, key):
        value = self._table.get(key)
        if not isinstance(value, str) or not value:
            self.fail(key, "a text is wanted")
        return value

    def number(self, key, default=None):
        value = self._table.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.fail(key, "a number is wanted")
        if value < 0:
            self.fail(key, f"{value} is below 0")
        return value

    def milliseconds(self, key, per_unit=1):
        return int(self.number(key) * per_unit)

    def address(self, key, optional=False):
        if optional and not self._table.get(key):
            return None
        host, _, port = self.text(key).rpartition(":")
        if not host or not port.isdigit():
            self.fail(key, "HOST:PORT is wanted")
        return (host, int(port))

    def ports(self, key):
        value = self._table.get(key)
        if (
            not isinstance(value, list)
            or len(value) != 2
            or not all(type(port) is int for port in value)
            or value[0] >= value[1]
        ):
            self.fail(key, "two ports, the lower one first, are wanted")
        return value


def load_settings(path: str) -> PlatformSettings:
    """Read the settings file at `path`.

    Keys that this package does not know are left alone: the platform adds
    some from time to time.

    Raises
    ------
    SettingsError
        It cannot be read, or a key is missing or wrong; the text names
        file and key.
    """
    try:
        table = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from None
    if not isinstance(table, dict):
        raise SettingsError(f"{path}: a table is wanted")
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
        bounds=_bounds(reader.table("bounds")),
        memory_mb=int(limits.number("memory-mb")),
        cores=limits.number("cpu-share") * limits.number("cores"),
    )


def _store(reader):
    return StoreSettings(
        address=reader.address("address"),
        row_bytes=int(reader.number("row-bytes")),
        object_bytes=int(reader.number("blob-bytes")),
    )


def _bounds(reader):
    return PlatformBounds(
        termination_grace_ms=reader.milliseconds("grace-s", 1000),
        drain_ms=reader.milliseconds("drain-ms"),
        config_apply_ms=reader.milliseconds("config-apply-ms"),
        cancel_ms=reader.milliseconds("cancel-ms"),
        result_retention_ms=reader.milliseconds("status-s", 1000),
        limit_slack=reader.number("quota-slack", default=0.0),
    )
