"""Model and Adapter: what there is to be served."""

from dahliashunt.records.fields import Field
from dahliashunt.records.fields import Integer
from dahliashunt.records.fields import ListOf
from dahliashunt.records.fields import Struct
from dahliashunt.records.kinds.common import NAME
from dahliashunt.records.kinds.common import NAMES
from dahliashunt.records.kinds.common import TITLE
from dahliashunt.records.record import Kind
from dahliashunt.records.schemas import register
from dahliashunt.records.schemas import Schema

__all__ = ["adapter_v1", "model_v1"]


@register(Kind.MODEL, 1)
def model_v1() -> Schema:
    """Describe a model.

    ``floor`` is the number of ready replicas below which no roll-out
    takes another one away.
    """
    return Schema(
        Struct(
            {
                "display_name": Field(TITLE),
                "versions": Field(ListOf(NAME, least=1), required=True),
                "max_tokens": Field(Integer(1, 100_000_000), required=True),
                "floor": Field(Integer(0, 100_000)),
            }
        )
    )


@register(Kind.ADAPTER, 1)
def adapter_v1() -> Schema:
    """Describe an adapter and the model versions that it fits."""
    return Schema(
        Struct(
            {
                "display_name": Field(TITLE),
                "model": Field(NAME, required=True),
                "versions": Field(NAMES),
            }
        )
    )
