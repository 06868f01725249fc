"""Stand-in of the platform's table service."""

from dataclasses import asdict
from dataclasses import dataclass

from blacksheep import Application
from blacksheep import json
from blacksheep import Request
from blacksheep import Response
from blacksheep import Router

from dahliashunt.adapters.table.rows import TableRows
from dahliashunt.errors import TransactionConflict
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Write
from dahliashunt.standins.faults import StandinApp
from dahliashunt.standins.limits import RateLimit
from dahliashunt.standins.roles import parse_options
from dahliashunt.standins.roles import ROLES
from dahliashunt.standins.routes import add_routes
from dahliashunt.standins.routes import read_json

__all__ = ["TableOptions", "TableStandin", "create_table"]


@dataclass(frozen=True, slots=True)
class TableOptions:
    """Limits of the table service, in calls a second."""

    writes_per_s: float = 400
    reads_per_s: float = 2000


@dataclass(slots=True)
class TableCounts:
    """What was done so far; `writes` counts rows."""

    reads: int = 0
    writes: int = 0
    transactions: int = 0
    conflicts: int = 0
    refused: int = 0


@ROLES.register("table")
def create_table(options, clock, rng) -> StandinApp:
    """Return the table service's application."""
    standin = TableStandin(parse_options(TableOptions, options), clock)
    return StandinApp(
        standin.app, clock, lambda method, path: path == "/transact"
    )


class TableStandin:
    """Routes of the table service over rows in memory."""

    def __init__(self, options: TableOptions, clock):
        self._rows = TableRows()
        self._counts = TableCounts()
        self._reads = RateLimit(options.reads_per_s, clock)
        self._writes = RateLimit(options.writes_per_s, clock)
        self.app = Application(router=Router())
        add_routes(
            self.app,
            {
                "POST /read": self._read,
                "POST /range": self._range,
                "POST /transact": self._transact,
                "GET /standin/counts": self._answer_counts,
                "GET /standin/dump": self._dump,
            },
        )

    async def _read(self, request: Request):
        if not self._reads.take():
            return self._refuse()
        body = await read_json(request)
        self._counts.reads += 1
        row = self._rows.read(body["key"])
        return json({"rows": [asdict(row)] if row else []})

    async def _range(self, request: Request):
        if not self._reads.take():
            return self._refuse()
        body = await read_json(request)
        self._counts.reads += 1
        rows = self._rows.read_range(body["start"], body["end"], body["limit"])
        return json({"rows": [asdict(row) for row in rows]})

    async def _transact(self, request: Request):
        if not self._writes.take():
            return self._refuse()
        body = await read_json(request)
        writes = tuple(_write(each) for each in body["writes"])
        self._counts.transactions += 1
        try:
            versions = self._rows.transact(writes)
        except TransactionConflict as conflict:
            self._counts.conflicts += 1
            return json({"failed": conflict.failed}, status=409)
        self._counts.writes += sum(not each.check_only for each in writes)
        return json({"versions": versions})

    def _refuse(self):
        self._counts.refused += 1
        return Response(429)

    async def _answer_counts(self, request: Request):
        return json(asdict(self._counts))

    async def _dump(self, request: Request):
        return json({"rows": [asdict(row) for row in self._rows.all()]})


def _write(fields: dict) -> Write:
    expect = fields.get("expect", MustBe.ANY.value)
    if isinstance(expect, str):
        expect = MustBe(expect)
    return Write(
        fields["key"],
        fields.get("value"),
        expect,
        fields.get("check_only", False),
    )
