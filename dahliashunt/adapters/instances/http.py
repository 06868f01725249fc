"""Instance list over HTTP and JSON."""

import ssl

from dahliashunt.adapters.table.calls import PlatformCalls
from dahliashunt.adapters.table.sessions import HttpLimits
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.ports.instances import Instance
from dahliashunt.ports.instances import InstanceKind
from dahliashunt.ports.instances import InstanceState

__all__ = ["HttpInstanceList", "instance_fields", "parse_instance"]


class HttpInstanceList:
    """`InstanceList` over HTTP.

    Parameters
    ----------
    base_url : str
    limits : HttpLimits, optional
    tls : ssl.SSLContext, optional
    """

    def __init__(
        self,
        base_url: str,
        limits: HttpLimits | None = None,
        tls: ssl.SSLContext | None = None,
    ):
        self._calls = PlatformCalls(base_url, limits, tls)

    async def read(self) -> tuple[Instance, ...]:
        """Return all listed instances, or raise `PlatformUnavailable`."""
        reply = await self._calls.read("GET", "/instances")
        try:
            return tuple(parse_instance(each) for each in reply.json())
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailable(f"/instances: {error!r}") from error

    async def close(self):
        """Close all connections that no call is using."""
        await self._calls.close()


def parse_instance(fields: dict) -> Instance:
    """Return the instance that a JSON object describes.

    Raises
    ------
    KeyError, ValueError
        A field is missing or has an invalid value.
    """
    return Instance(
        instance_id=fields["instance_id"],
        kind=InstanceKind(fields["kind"]),
        state=InstanceState(fields["state"]),
        host=fields["host"],
        port=int(fields["port"]),
        data_centre=fields["data_centre"],
        endpoint_id=fields.get("endpoint_id"),
    )


def instance_fields(instance: Instance) -> dict:
    """Return the JSON object that describes `instance`."""
    return {
        "instance_id": instance.instance_id,
        "kind": instance.kind.value,
        "state": instance.state.value,
        "host": instance.host,
        "port": instance.port,
        "data_centre": instance.data_centre,
        "endpoint_id": instance.endpoint_id,
    }
