"""What requests hold: a registry of length distributions, and the mix."""

from collections.abc import Callable
from dataclasses import dataclass
import math
import random

from dahliashunt.errors import SettingsError
from dahliashunt.load.arrivals import arrivals
from dahliashunt.load.plan import Lengths
from dahliashunt.load.plan import Plan

__all__ = ["LENGTHS", "Ask", "asks", "length", "length_kind"]

LENGTHS: dict[str, Callable[[Lengths, random.Random], float]] = {}

_LONGEST = 8000
_WORDS = ("bisque", "glaze", "gearbox", "hinge", "drain", "wig", "rotor")


@dataclass(frozen=True, slots=True)
class Ask:
    """One request that will be sent.

    Attributes
    ----------
    at_s : float
        Intended time of sending, from the start of the run.
    """

    number: int
    at_s: float
    key: str
    prompt: str
    tokens: int
    streamed: bool


def length_kind(name: str):
    """Add a distribution to the registry under `name`."""

    def add(draw):
        LENGTHS[name] = draw
        return draw

    return add


def length(lengths: Lengths, rng: random.Random) -> int:
    """Draw a length, from 1 up to a fixed bound.

    Examples
    --------
    >>> length(Lengths("fixed", 12), random.Random(1))
    12
    """
    if lengths.kind not in LENGTHS:
        raise SettingsError(f"lengths: unknown kind {lengths.kind!r}")
    drawn = round(LENGTHS[lengths.kind](lengths, rng))
    return min(max(1, drawn), _LONGEST)


@length_kind("fixed")
def _fixed(lengths, rng):
    return lengths.mean


@length_kind("uniform")
def _uniform(lengths, rng):
    low, high = lengths.mean - lengths.spread, lengths.mean + lengths.spread
    return rng.uniform(low, high)


@length_kind("lognormal")
def _lognormal(lengths, rng):
    mu = math.log(lengths.mean) - lengths.spread**2 / 2
    return rng.lognormvariate(mu, lengths.spread)


def asks(plan: Plan) -> list[Ask]:
    """Return all requests of a run; the same for the same plan."""
    rng = random.Random(plan.seed)
    keys = [caller.key for caller in plan.callers]
    shares = [caller.share for caller in plan.callers]
    found = []
    for number, at_s in enumerate(arrivals(plan, rng)):
        found.append(
            Ask(
                number=number,
                at_s=at_s,
                key=rng.choices(keys, shares)[0],
                prompt=_prompt(plan, rng, number),
                tokens=length(plan.answer_tokens, rng),
                streamed=rng.random() < plan.streamed,
            )
        )
    return found


def _prompt(plan, rng, number):
    words = length(plan.prompt_words, rng)
    opening = rng.randrange(plan.prompts)
    first = [_WORDS[(opening + at) % len(_WORDS)] for at in range(words)]
    return f"opening {opening}: {' '.join(first)} number {number}"
