"""What one run sends: callers, mixes, bursts, and batch jobs beside."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import fields
import pathlib

import yaml

from dahliashunt.errors import SettingsError

__all__ = [
    "BatchBeside",
    "Burst",
    "Lengths",
    "LoadCaller",
    "Plan",
    "plan_from_dict",
    "read_plan",
]


@dataclass(frozen=True, slots=True)
class Lengths:
    """Distribution of a length.

    Attributes
    ----------
    kind : str
        Name in the registry of `dahliashunt.load.mix`.
    mean : float
        Of the length.
    spread : float
        Half width of ``uniform``, sigma of ``lognormal``.
    """

    kind: str = "fixed"
    mean: float = 12
    spread: float = 0


@dataclass(frozen=True, slots=True)
class LoadCaller:
    """One caller's key, and its part of the arrivals."""

    key: str
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class Burst:
    """A time in which `times` as many requests arrive."""

    at_s: float
    for_s: float
    times: float


@dataclass(frozen=True, slots=True)
class BatchBeside:
    """Batch jobs that run beside the online requests."""

    key: str
    jobs: int = 1
    items: int = 2000
    tokens: int = 12
    lead_s: float = 3.0


@dataclass(frozen=True, slots=True)
class Plan:
    """All of one run.

    Attributes
    ----------
    entries : tuple of str
        Base URLs, used in turn.
    rate : float
        Online requests a second outside bursts; 0 sends none.
    pattern : str
        Name in the registry of `dahliashunt.load.arrivals`.
    streamed : float
        Share of requests that ask for a stream.
    prompts : int
        Number of different openings; requests with the same opening share
        a prefix.
    check : bool
        Whether each whole text is compared with the stand-in's.
    first_token_ms, token_gap_ms : int
        The service-level objectives that goodput is counted by.
    """

    entries: tuple[str, ...]
    callers: tuple[LoadCaller, ...]
    model: str
    seconds: float = 10.0
    rate: float = 20.0
    seed: int = 1
    pattern: str = "poisson"
    bursts: tuple[Burst, ...] = ()
    streamed: float = 1.0
    prompt_words: Lengths = Lengths("lognormal", 40, 0.6)
    answer_tokens: Lengths = field(default_factory=Lengths)
    prompts: int = 50
    check: bool = False
    batch: BatchBeside | None = None
    first_token_ms: int = 760
    token_gap_ms: int = 69
    give_up_s: float = 60.0


_PARTS = {
    "callers": LoadCaller,
    "bursts": Burst,
    "prompt_words": Lengths,
    "answer_tokens": Lengths,
    "batch": BatchBeside,
}


def plan_from_dict(found: dict) -> Plan:
    """Return the plan that a YAML document holds.

    Raises
    ------
    SettingsError
        A key is unknown or missing.

    Examples
    --------
    >>> plan_from_dict({"entries": ["http://h"], "model": "m",
    ...                 "callers": [{"key": "k"}]}).rate
    20.0
    """
    values = {}
    for name, value in found.items():
        part = _PARTS.get(name)
        if part is not None and isinstance(value, list):
            value = tuple(_made(part, each, name) for each in value)
        elif part is not None and value is not None:
            value = _made(part, value, name)
        elif isinstance(value, list):
            value = tuple(value)
        values[name] = value
    return _made(Plan, values, "plan")


def read_plan(path: str) -> Plan:
    """Return the plan in a YAML file."""
    found = yaml.safe_load(pathlib.Path(path).read_text())
    if not isinstance(found, dict):
        raise SettingsError(f"{path}: not a mapping")
    return plan_from_dict(found)


def _made(kind, values, where):
    known = {each.name for each in fields(kind)}
    if not isinstance(values, dict):
        raise SettingsError(f"{where}: not a mapping")
    unknown = sorted(set(values) - known)
    if unknown:
        raise SettingsError(f"{where}: unknown key {unknown[0]!r}")
    try:
        return kind(**values)
    except TypeError as error:
        raise SettingsError(f"{where}: {error}") from error
