"""The page that one shift leaves to the next.

Notes
-----
Two operators who read it at the same time must see alike, so it holds
nothing of the reader: it is stamped with the revision, times are those at
which changes were written, all lists are in a fixed order, and "since"
counts back from the newest change, not from the reader's clock.
"""

from collections import Counter
import dataclasses
from dataclasses import dataclass
from typing import Any

from dahliashunt.records.fleet import Deployment
from dahliashunt.records.fleet import deployment_of
from dahliashunt.records.record import Change
from dahliashunt.records.record import Kind
from dahliashunt.records.record import Record
from dahliashunt.records.schemas import Schemas
from dahliashunt.records.status import Alert
from dahliashunt.records.status import EndpointStatus
from dahliashunt.records.status import JobStatus
from dahliashunt.records.status import NodeStatus
from dahliashunt.records.views import change_view
from dahliashunt.records.views import status_view

__all__ = ["SHIFT_MS", "Handover", "handover_view"]

SHIFT_MS = 8 * 3_600_000
"""A shift: three a day. How far back the page goes by default."""


@dataclass(frozen=True, slots=True)
class Handover:
    """What the page is made from.

    Attributes
    ----------
    records : tuple of Record
        Live records other than callers, at the revision of the page.
    callers : int
        How many callers there are.
    changes : tuple of Change
        Newest first.
    """

    head: Change | None
    since: int
    records: tuple[Record, ...]
    callers: int
    changes: tuple[Change, ...]
    nodes: tuple[NodeStatus, ...]
    endpoints: tuple[EndpointStatus, ...]
    jobs: tuple[JobStatus, ...]
    alerts: tuple[Alert, ...]


def handover_view(page: Handover, schemas: Schemas) -> dict[str, Any]:
    """Return the page as plain data, every list in a fixed order."""
    head = page.head
    revision = head.revision if head is not None else 0
    status = status_view(revision, page.nodes, True)
    return {
        "revision": revision,
        "written_wall_ms": head.wall_ms if head is not None else 0,
        "written_by": head.who if head is not None else "",
        "since_revision": page.since,
        "in_force": _in_force(page),
        "deployments": [_deployment(d) for d in _deployments(page, schemas)],
        "changes": [change_view(change) for change in page.changes],
        "spreading": {
            "lowest_in_force": status["lowest_in_force"],
            "nodes": status["nodes"],
            "laggards": [
                {"node_id": n["node_id"], "revision": n["revision"]}
                for n in status["laggards"]
            ],
            "not_applied": status["not_applied"],
        },
        "drains": _drains(page.records),
        "rollouts": _rollouts(page, schemas),
        "jobs": [
            dataclasses.asdict(job)
            for job in sorted(page.jobs, key=lambda j: j.job_id)
        ],
        "alerts": [
            dataclasses.asdict(alert)
            for alert in sorted(page.alerts, key=_alert_order)
        ],
    }


def _in_force(page):
    counts = Counter(record.key.kind for record in page.records)
    counts[Kind.CALLER.value] = page.callers
    return {kind: counts[kind] for kind in sorted(counts) if counts[kind]}


def _deployments(page, schemas):
    for record in page.records:
        readable = schemas.readable(record)
        if record.key.kind != Kind.DEPLOYMENT.value or readable is None:
            continue
        version, spec = readable
        newest = schemas.newest(record.key.kind)
        spec = schemas.convert(record.key.kind, spec, version, newest)
        yield deployment_of(record.key.name, spec)


def _deployment(deployment: Deployment):
    where = [f"{c}: {n}" for c, n in deployment.replicas_by_data_centre]
    return {
        "name": deployment.name,
        "model": f"{deployment.model}@{deployment.version}",
        "adapters": list(deployment.adapters),
        "where": where or sorted(deployment.endpoints),
        "paused": deployment.paused,
    }


def _drains(records):
    return [
        {
            "endpoint": record.key.name,
            "reason": record.spec.get("reason", ""),
            "revision": record.revision,
        }
        for record in records
        if record.key.kind == Kind.ENDPOINT_DRAIN.value
    ]


def _rollouts(page, schemas):
    """Return paused roll-outs, and endpoints that lack what is wanted."""
    rollouts = [
        {"what": deployment.name, "state": "paused"}
        for deployment in _deployments(page, schemas)
        if deployment.paused
    ]
    for endpoint in sorted(page.endpoints, key=lambda e: e.endpoint_id):
        missing = sorted(set(endpoint.wanted) - set(endpoint.models))
        if missing:
            state = f"still to load {', '.join(missing)}"
            rollouts.append({"what": endpoint.endpoint_id, "state": state})
    return rollouts


def _alert_order(alert):
    return alert.severity, alert.name, alert.text
