"""Table service over HTTP and JSON."""

import ssl

from dahliashunt.adapters.table.calls import HttpReply
from dahliashunt.adapters.table.calls import PlatformCalls
from dahliashunt.adapters.table.sessions import HttpLimits
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import Write

__all__ = ["HttpTableService"]

_CONFLICT = 409


class HttpTableService:
    """`TableService` over HTTP.

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

    async def read(self, key: str) -> Row | None:
        """Return the row named `key`, or None."""
        rows = await self._rows("/read", {"key": key})
        return rows[0] if rows else None

    async def read_range(
        self, start: str, end: str, limit: int
    ) -> tuple[Row, ...]:
        """Return rows with ``start <= key < end`` in order of key."""
        wanted = {"start": start, "end": end, "limit": limit}
        return await self._rows("/range", wanted)

    async def transact(self, writes: tuple[Write, ...]) -> tuple[int, ...]:
        """Apply all `writes` or none; return the rows' new versions.

        A deleted row has version 0.
        """
        body = {"writes": [_write_fields(each) for each in writes]}
        reply = await self._calls.write(
            "POST", "/transact", conflict_status=_CONFLICT, json=body
        )
        if reply.status == _CONFLICT:
            raise TransactionConflict(_member(reply, "failed"))
        return tuple(_member(reply, "versions"))

    async def close(self):
        """Close all connections that no call is using."""
        await self._calls.close()

    async def _rows(self, path, body) -> tuple[Row, ...]:
        reply = await self._calls.read("POST", path, json=body)
        try:
            return tuple(Row(**row) for row in reply.json()["rows"])
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailable(f"{path}: {error!r}") from error


def _member(reply: HttpReply, name: str):
    """Return one member of the JSON reply to a write."""
    try:
        return reply.json()[name]
    except (ValueError, KeyError, TypeError) as error:
        raise WriteOutcomeUnknown(f"malformed reply: {error!r}") from error


def _write_fields(write: Write) -> dict:
    expect = write.expect
    return {
        "key": write.key,
        "value": write.value,
        "expect": expect.value if isinstance(expect, MustBe) else expect,
        "check_only": write.check_only,
    }
