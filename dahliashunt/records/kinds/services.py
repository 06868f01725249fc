"""Service: a plain service and which of its calls may be repeated."""

from dahliashunt.records.fields import Choice
from dahliashunt.records.fields import Field
from dahliashunt.records.fields import Flag
from dahliashunt.records.fields import Integer
from dahliashunt.records.fields import ListOf
from dahliashunt.records.fields import Struct
from dahliashunt.records.fields import Text
from dahliashunt.records.kinds.common import NAMES
from dahliashunt.records.kinds.common import TITLE
from dahliashunt.records.record import Kind
from dahliashunt.records.schemas import register
from dahliashunt.records.schemas import Schema

__all__ = ["METHODS", "service_v1"]

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*")


@register(Kind.SERVICE, 1)
def service_v1() -> Schema:
    """Describe a plain service.

    The first of ``calls`` whose method and path prefix match says
    whether a call is idempotent; ``idempotent`` speaks for the rest, and
    without it only GET and HEAD are.
    """
    call = Struct(
        {
            "method": Field(Choice(METHODS), required=True),
            "path": Field(
                Text(r"/\S{0,500}", "a path that starts with /"),
                required=True,
            ),
            "idempotent": Field(Flag(), required=True),
        }
    )
    return Schema(
        Struct(
            {
                "display_name": Field(TITLE),
                "idempotent": Field(Flag()),
                "calls": Field(ListOf(call, unique=False)),
                "endpoints": Field(NAMES),
                "timeout_ms": Field(Integer(1, 3_600_000)),
            }
        )
    )
