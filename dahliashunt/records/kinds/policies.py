"""BatchPolicy, EndpointDrain and Operator."""

from dahliashunt.records.fields import Choice
from dahliashunt.records.fields import Field
from dahliashunt.records.fields import Flag
from dahliashunt.records.fields import Integer
from dahliashunt.records.fields import ListOf
from dahliashunt.records.fields import Struct
from dahliashunt.records.fields import Text
from dahliashunt.records.kinds.common import KEYS
from dahliashunt.records.kinds.common import NAMES
from dahliashunt.records.kinds.common import TITLE
from dahliashunt.records.record import Kind
from dahliashunt.records.schemas import register
from dahliashunt.records.schemas import Schema

__all__ = ["ROLES", "batch_policy_v1", "endpoint_drain_v1", "operator_v1"]

ROLES = ("read", "write", "drain")

_TIME_OF_DAY = Text(
    r"([01][0-9]|2[0-3]):[0-5][0-9]", 'a time of day in UTC such as "22:00"'
)


@register(Kind.BATCH_POLICY, 1)
def batch_policy_v1() -> Schema:
    """Describe which batch jobs are accepted.

    Without ``models`` or ``callers`` all of them are; without
    ``windows`` a job may start at any time.
    """
    window = Struct(
        {
            "from": Field(_TIME_OF_DAY, required=True),
            "to": Field(_TIME_OF_DAY, required=True),
        }
    )
    return Schema(
        Struct(
            {
                "accepted": Field(Flag()),
                "models": Field(NAMES),
                "callers": Field(NAMES),
                "max_items": Field(Integer(1, 100_000_000)),
                "max_attempts": Field(Integer(1, 100)),
                "windows": Field(ListOf(window, unique=False)),
            }
        )
    )


@register(Kind.ENDPOINT_DRAIN, 1)
def endpoint_drain_v1() -> Schema:
    """Describe that the endpoint named so gets no new work."""
    return Schema(Struct({"reason": Field(TITLE)}))


@register(Kind.OPERATOR, 1)
def operator_v1() -> Schema:
    """Describe an operator's keys and roles."""
    return Schema(
        Struct(
            {
                "display_name": Field(TITLE),
                "shift": Field(TITLE),
                "keys": Field(KEYS),
                "roles": Field(ListOf(Choice(ROLES)), required=True),
            }
        )
    )
