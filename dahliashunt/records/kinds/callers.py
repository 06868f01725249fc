"""Caller: who may send what, and how much.

Version 1 has one flat limit in requests and a flat list of models.
Version 2 counts work in tokens, since a request for a whole parts list
costs a hundred times a short one, and groups permissions.
"""

from dahliashunt.records.fields import Field
from dahliashunt.records.fields import Flag
from dahliashunt.records.fields import Integer
from dahliashunt.records.fields import Number
from dahliashunt.records.fields import Struct
from dahliashunt.records.kinds.common import KEYS
from dahliashunt.records.kinds.common import PERMITTED
from dahliashunt.records.kinds.common import TITLE
from dahliashunt.records.record import Kind
from dahliashunt.records.schemas import register
from dahliashunt.records.schemas import Schema

__all__ = ["TOKENS_A_REQUEST", "caller_v1", "caller_v2"]

TOKENS_A_REQUEST = 1000
"""Work of one version 1 request when limits are converted."""

_S_A_MINUTE = 60
_SHARED = ("display_name", "keys")


@register(Kind.CALLER, 1)
def caller_v1() -> Schema:
    """Describe a caller with one limit in requests."""
    return Schema(
        Struct(
            {
                "display_name": Field(TITLE),
                "keys": Field(KEYS),
                "models": Field(PERMITTED),
                "services": Field(PERMITTED),
                "requests_per_minute": Field(Integer(1, 10_000_000)),
                "batch": Field(Flag()),
            }
        )
    )


@register(Kind.CALLER, 2)
def caller_v2() -> Schema:
    """Describe a caller with limits in tokens and grouped permissions."""
    batch = Struct(
        {
            "max_jobs": Field(Integer(0, 1_000_000)),
            "max_items": Field(Integer(0, 100_000_000)),
            "tokens_a_second": Field(Integer(1, 1_000_000_000)),
        }
    )
    limits = Struct(
        {
            "tokens_a_second": Field(Integer(1, 1_000_000_000)),
            "burst_s": Field(Number(0.1, 3600.0)),
            "weight": Field(Number(0.001, 1000.0)),
            "batch": Field(batch),
        }
    )
    permissions = Struct(
        {
            "models": Field(PERMITTED),
            "services": Field(PERMITTED),
            "batch": Field(Flag()),
        }
    )
    return Schema(
        Struct(
            {
                "display_name": Field(TITLE),
                "keys": Field(KEYS),
                "limits": Field(limits),
                "permissions": Field(permissions),
            }
        ),
        upgrade=_upgrade,
        downgrade=_downgrade,
    )


def _upgrade(old):
    new = {name: old[name] for name in _kept(old)}
    if "requests_per_minute" in old:
        a_minute = old["requests_per_minute"] * TOKENS_A_REQUEST
        new["limits"] = {"tokens_a_second": -(-a_minute // _S_A_MINUTE)}
    permissions = {
        name: old[name]
        for name in ("models", "services", "batch")
        if name in old
    }
    if permissions:
        new["permissions"] = permissions
    return new


def _downgrade(new):
    old = {name: new[name] for name in _kept(new)}
    a_second = new.get("limits", {}).get("tokens_a_second")
    if a_second is not None:
        a_minute = a_second * _S_A_MINUTE // TOKENS_A_REQUEST
        old["requests_per_minute"] = max(1, a_minute)
    permissions = new.get("permissions", {})
    for name in ("models", "services", "batch"):
        if name in permissions:
            old[name] = permissions[name]
    return old


def _kept(spec):
    """Return the fields that are the same in both versions."""
    return [n for n in spec if n in _SHARED or n.startswith("x_")]
