"""Deployment: which model, version and adapters run where.

Version 1 has a number of replicas and a list of data centres. Version 2
says how many run in each data centre and how a change is rolled out.
"""

from collections.abc import Iterator

from dahliashunt.records.fields import Field
from dahliashunt.records.fields import Flag
from dahliashunt.records.fields import Integer
from dahliashunt.records.fields import MapOf
from dahliashunt.records.fields import Problem
from dahliashunt.records.fields import Struct
from dahliashunt.records.kinds.common import NAME
from dahliashunt.records.kinds.common import NAMES
from dahliashunt.records.kinds.common import VERSIONED
from dahliashunt.records.record import Kind
from dahliashunt.records.schemas import register
from dahliashunt.records.schemas import Schema

__all__ = ["deployment_v1", "deployment_v2"]

_SHARED = ("model", "adapters", "endpoints")


@register(Kind.DEPLOYMENT, 1)
def deployment_v1() -> Schema:
    """Describe a deployment with one number of replicas."""
    return Schema(
        Struct(
            {
                "model": Field(VERSIONED, required=True),
                "adapters": Field(NAMES),
                "endpoints": Field(NAMES),
                "replicas": Field(Integer(0, 100_000)),
                "data_centres": Field(NAMES),
            }
        ),
        check=_check_v1,
    )


@register(Kind.DEPLOYMENT, 2)
def deployment_v2() -> Schema:
    """Describe a deployment by data centre, with its roll-out."""
    rollout = Struct(
        {
            "paused": Field(Flag()),
            "pause_s": Field(Integer(0, 86_400)),
            "floor": Field(Integer(0, 100_000)),
        }
    )
    return Schema(
        Struct(
            {
                "model": Field(VERSIONED, required=True),
                "adapters": Field(NAMES),
                "endpoints": Field(NAMES),
                "replicas_by_data_centre": Field(
                    MapOf(NAME, Integer(0, 100_000))
                ),
                "rollout": Field(rollout),
            }
        ),
        upgrade=_upgrade,
        downgrade=_downgrade,
        check=_check_v2,
        whole=frozenset({("replicas_by_data_centre",)}),
    )


def _check_v1(spec) -> Iterator[Problem]:
    yield from _one_of(spec, "replicas")
    if "replicas" in spec and not spec.get("data_centres"):
        yield Problem(("data_centres",), "is missing beside replicas")


def _check_v2(spec) -> Iterator[Problem]:
    yield from _one_of(spec, "replicas_by_data_centre")


def _one_of(spec, replicas):
    if ("endpoints" in spec) == (replicas in spec):
        reason = f"exactly one of endpoints and {replicas} must be there"
        yield Problem(("endpoints",), reason)


def _upgrade(old):
    new = {name: old[name] for name in _kept(old)}
    if "replicas" in old:
        new["replicas_by_data_centre"] = _spread(
            old["replicas"], sorted(old.get("data_centres", ()))
        )
    return new


def _downgrade(new):
    old = {name: new[name] for name in _kept(new)}
    by_centre = new.get("replicas_by_data_centre")
    if by_centre is not None:
        old["replicas"] = sum(by_centre.values())
        old["data_centres"] = sorted(by_centre)
    return old


def _spread(replicas, centres):
    """Return replicas by data centre, as even as they go."""
    return {
        centre: (replicas + len(centres) - 1 - place) // len(centres)
        for place, centre in enumerate(centres)
    }


def _kept(spec):
    """Return the fields that are the same in both versions."""
    return [n for n in spec if n in _SHARED or n.startswith("x_")]
