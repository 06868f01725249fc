"""Typed views of records other than callers."""

from dataclasses import dataclass

from dahliashunt.ids import DataCentreId
from dahliashunt.ids import EndpointId
from dahliashunt.ids import ModelId

__all__ = [
    "AdapterInfo",
    "BatchPolicy",
    "Deployment",
    "ModelInfo",
    "Operator",
    "OperatorKey",
    "ServiceCall",
    "ServiceInfo",
    "Window",
    "adapter_of",
    "batch_policy_of",
    "deployment_of",
    "model_of",
    "operator_of",
    "service_of",
]

MINUTES_A_DAY = 24 * 60
MS_A_MINUTE = 60_000
SAFE_METHODS = frozenset({"GET", "HEAD"})


@dataclass(frozen=True, slots=True)
class ModelInfo:
    """A model as `/v1/models` shows it."""

    model_id: ModelId
    display_name: str
    versions: tuple[str, ...]
    max_tokens: int
    floor: int


@dataclass(frozen=True, slots=True)
class AdapterInfo:
    """An adapter and what it fits."""

    name: str
    model: ModelId
    versions: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Deployment:
    """What runs where.

    Attributes
    ----------
    endpoints : frozenset of EndpointId
        Named endpoints; empty if replicas are counted instead.
    replicas_by_data_centre : tuple of (DataCentreId, int)
    paused : bool
        Whether the roll-out stands still.
    pause_ms : int
        Wait between two endpoints of a roll-out.
    floor : int
        Ready replicas below which none is taken away.
    """

    name: str
    model: ModelId
    version: str
    adapters: tuple[str, ...]
    endpoints: frozenset[EndpointId]
    replicas_by_data_centre: tuple[tuple[DataCentreId, int], ...]
    paused: bool
    pause_ms: int
    floor: int


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """Whether calls of one method and path prefix are idempotent."""

    method: str
    path: str
    idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        """Return whether a call falls under this rule.

        The prefix matches whole path segments, so that a rule for
        ``/stamp`` does not speak for ``/stamps``.
        """
        if self.method not in ("*", method.upper()):
            return False
        prefix = self.path.rstrip("/")
        return path == prefix or path.startswith(f"{prefix}/")


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """A plain service."""

    name: str
    idempotent: bool | None
    calls: tuple[ServiceCall, ...]
    endpoints: frozenset[EndpointId]
    timeout_ms: int | None

    def may_repeat(self, method: str, path: str) -> bool:
        """Return whether a call is idempotent.

        Examples
        --------
        >>> stamp = ServiceCall("POST", "/title", False)
        >>> yard = ServiceInfo("yard", None, (stamp,), frozenset(), None)
        >>> yard.may_repeat("POST", "/title/7"), yard.may_repeat("GET", "/")
        (False, True)
        """
        for call in self.calls:
            if call.matches(method, path):
                return call.idempotent
        if self.idempotent is not None:
            return self.idempotent
        return method.upper() in SAFE_METHODS


@dataclass(frozen=True, slots=True)
class Window:
    """A part of each day in UTC; it may go over midnight."""

    from_minute: int
    to_minute: int

    def holds(self, minute: int) -> bool:
        """Return whether a minute of the day is inside.

        Examples
        --------
        >>> night = Window(22 * 60, 6 * 60)
        >>> night.holds(23 * 60), night.holds(6 * 60)
        (True, False)
        """
        if self.from_minute <= self.to_minute:
            return self.from_minute <= minute < self.to_minute
        return minute >= self.from_minute or minute < self.to_minute


@dataclass(frozen=True, slots=True)
class BatchPolicy:
    """Which batch jobs are accepted; None stands for no restriction."""

    name: str
    accepted: bool
    models: frozenset[str] | None
    callers: frozenset[str] | None
    max_items: int | None
    max_attempts: int | None
    windows: tuple[Window, ...]

    def covers(self, caller: str, model: str) -> bool:
        """Return whether this policy speaks for such a job."""
        for_model = self.models is None or model in self.models
        return for_model and (self.callers is None or caller in self.callers)

    def open_at(self, wall_ms: int) -> bool:
        """Return whether jobs may start at a time of day."""
        minute = wall_ms // MS_A_MINUTE % MINUTES_A_DAY
        if not self.windows:
            return True
        return any(window.holds(minute) for window in self.windows)


@dataclass(frozen=True, slots=True)
class OperatorKey:
    """One key of an operator, by its hash."""

    key_id: str
    sha256: str


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator, with keys and roles."""

    name: str
    display_name: str
    roles: frozenset[str]
    keys: tuple[OperatorKey, ...] = ()


def model_of(name: str, spec: dict) -> ModelInfo:
    """Return the view of a Model spec."""
    return ModelInfo(
        ModelId(name),
        spec.get("display_name", name),
        tuple(spec["versions"]),
        spec["max_tokens"],
        spec.get("floor", 0),
    )


def adapter_of(name: str, spec: dict) -> AdapterInfo:
    """Return the view of an Adapter spec."""
    return AdapterInfo(
        name, ModelId(spec["model"]), tuple(spec.get("versions", ()))
    )


def deployment_of(name: str, spec: dict) -> Deployment:
    """Return the view of a version 2 Deployment spec."""
    model, _, version = spec["model"].partition("@")
    rollout = spec.get("rollout", {})
    by_centre = spec.get("replicas_by_data_centre", {})
    return Deployment(
        name,
        ModelId(model),
        version,
        tuple(spec.get("adapters", ())),
        frozenset(EndpointId(e) for e in spec.get("endpoints", ())),
        tuple((DataCentreId(c), n) for c, n in sorted(by_centre.items())),
        rollout.get("paused", False),
        rollout.get("pause_s", 0) * 1000,
        rollout.get("floor", 0),
    )


def service_of(name: str, spec: dict) -> ServiceInfo:
    """Return the view of a Service spec."""
    return ServiceInfo(
        name,
        spec.get("idempotent"),
        tuple(
            ServiceCall(call["method"], call["path"], call["idempotent"])
            for call in spec.get("calls", ())
        ),
        frozenset(EndpointId(e) for e in spec.get("endpoints", ())),
        spec.get("timeout_ms"),
    )


def batch_policy_of(name: str, spec: dict) -> BatchPolicy:
    """Return the view of a BatchPolicy spec."""
    return BatchPolicy(
        name,
        spec.get("accepted", True),
        _frozen(spec.get("models")),
        _frozen(spec.get("callers")),
        spec.get("max_items"),
        spec.get("max_attempts"),
        tuple(
            Window(_minute(window["from"]), _minute(window["to"]))
            for window in spec.get("windows", ())
        ),
    )


def operator_of(name: str, spec: dict) -> Operator:
    """Return the view of an Operator spec."""
    return Operator(
        name,
        spec.get("display_name", name),
        frozenset(spec["roles"]),
        tuple(
            OperatorKey(key["id"], key["sha256"])
            for key in spec.get("keys", ())
        ),
    )


def _frozen(names):
    return None if names is None else frozenset(names)


def _minute(text):
    hours, _, minutes = text.partition(":")
    return int(hours) * 60 + int(minutes)
