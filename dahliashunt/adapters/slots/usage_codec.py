"""Encode and decode workspaces' usage reports and readings."""

from dahliashunt.adapters.wire.gen.link.ttypes import UseLimit
from dahliashunt.adapters.wire.gen.link.ttypes import UseReading
from dahliashunt.adapters.wire.gen.link.ttypes import UseReport
from dahliashunt.decisions.meter_messages import UsageReading
from dahliashunt.decisions.meter_messages import UsageReport
from dahliashunt.decisions.rate_limits import RateLimit
from dahliashunt.ids import Revision

__all__ = [
    "decode_reading",
    "decode_report",
    "encode_reading",
    "encode_report",
]

MIN_RATE = 0.001
"""Lower bound of a rate in requests a second, since waits divide by it."""


def encode_report(report: UsageReport) -> UseReport:
    """Return `report` as a thrift struct."""
    return UseReport(
        workspace=report.workspace,
        life=report.life,
        sequence=report.sequence,
        total=report.total,
        since=report.since,
        wanted=report.wanted,
        rate=report.limit.rate,
        room=report.limit.room,
        revision=report.limit.revision,
    )


def decode_report(wire: UseReport) -> UsageReport:
    """Return the report in `wire`; a missing field counts as 0."""
    return UsageReport(
        workspace=wire.workspace or 0,
        life=wire.life or 0,
        sequence=wire.sequence or 0,
        total=wire.total or 0,
        since=wire.since or 0,
        wanted=wire.wanted or 0,
        limit=_limit(wire),
    )


def encode_reading(reading: UsageReading) -> UseReading:
    """Return `reading` as a thrift struct."""
    newer = reading.newer
    return UseReading(
        workspace=reading.workspace,
        life=reading.life,
        sequence=reading.sequence,
        counted=reading.counted,
        level=reading.level,
        mature=reading.mature,
        granted=reading.granted,
        wait_ms=reading.wait_ms,
        entries=reading.entries,
        newer=newer and UseLimit(newer.rate, newer.room, newer.revision),
    )


def decode_reading(wire: UseReading) -> UsageReading:
    """Return the reading in `wire`; a missing field counts as 0."""
    return UsageReading(
        workspace=wire.workspace or 0,
        life=wire.life or 0,
        sequence=wire.sequence or 0,
        counted=wire.counted or 0,
        level=wire.level or 0.0,
        mature=bool(wire.mature),
        granted=wire.granted or 0,
        wait_ms=wire.wait_ms or 0,
        entries=wire.entries or 0,
        newer=wire.newer and _limit(wire.newer),
    )


def _limit(wire):
    return RateLimit(
        rate=max(MIN_RATE, wire.rate or 0.0),
        room=wire.room or 0.0,
        revision=Revision(wire.revision or 0),
    )
