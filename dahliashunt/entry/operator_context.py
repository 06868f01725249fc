"""What the operators' routes see of one entry."""

from dahliashunt.batch.overview import unfinished
from dahliashunt.entry.endpoint_book import EndpointBook
from dahliashunt.entry.records_node import RecordsNode
from dahliashunt.entry.settings import EntrySettings
from dahliashunt.records import RecordStore
from dahliashunt.records.catalog import Catalog
from dahliashunt.records.status import Alert
from dahliashunt.records.status import EndpointStatus
from dahliashunt.records.status import JobStatus
from dahliashunt.records.status import NodeStatus
from dahliashunt.version import VERSION

__all__ = ["EntryOperatorContext"]

MAX_JOBS = 200


class EntryOperatorContext:
    """`OperatorContext` of an entry.

    Parameters
    ----------
    settings : EntrySettings
    store : RecordStore
    node : RecordsNode
    endpoints : EndpointBook
    table : TableService or None
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: RecordStore,
        node: RecordsNode,
        endpoints: EndpointBook,
        table,
    ):
        self.records = store
        self.bootstrap_key_sha256 = settings.operator_key_sha256 or None
        self._settings = settings
        self._node = node
        self._endpoints = endpoints
        self._table = table

    @property
    def catalog(self) -> Catalog:
        """What is in force here."""
        return self._node.catalog

    def nodes(self) -> tuple[NodeStatus, ...]:
        """Return this entry, its agents, and the entries they tell of."""
        own = NodeStatus(
            node_id=self._settings.node_id,
            role="entry",
            data_centre=self._settings.data_centre,
            revision=self._node.revision,
            program_version=VERSION,
            not_applied=tuple(
                f"{noted.key.kind}/{noted.key.name}: {noted.reason}"
                for noted in self.catalog.not_applied
            ),
        )
        agents = [
            NodeStatus(
                node_id=endpoint_id,
                role="agent",
                data_centre=endpoint.info.data_centre,
                revision=self._node.revision_by_endpoint.get(endpoint_id, 0),
                program_version=endpoint.program_version,
                leaving="leaving" in endpoint.state,
            )
            for endpoint_id, endpoint in self._endpoints.by_id.items()
        ]
        others = [
            NodeStatus(
                node_id=node_id, role="entry", data_centre="", revision=known
            )
            for node_id, known in self._node.revision_by_entry.items()
            if node_id != self._settings.node_id
        ]
        return (own, *others, *agents)

    def endpoints(self) -> tuple[EndpointStatus, ...]:
        """Return the endpoints that this entry links to."""
        return tuple(
            self._endpoint(endpoint_id, endpoint)
            for endpoint_id, endpoint in self._endpoints.by_id.items()
        )

    def _endpoint(self, endpoint_id, endpoint):
        report = endpoint.report
        wanted = tuple(
            f"{deployment.model}@{deployment.version}"
            for deployment in self.catalog.deployments_by_name.values()
            if endpoint_id in deployment.endpoints
        )
        return EndpointStatus(
            endpoint_id=endpoint_id,
            data_centre=endpoint.info.data_centre,
            state=endpoint.state,
            models=() if report is None else tuple(sorted(report.models)),
            wanted=wanted,
            running_online=0 if report is None else report.running_online,
            running_batch=0 if report is None else report.running_batch,
        )

    async def jobs(self) -> tuple[JobStatus, ...]:
        """Return the batch jobs that are not at their end."""
        if self._table is None:
            return ()
        views = await unfinished(self._table, MAX_JOBS)
        return tuple(_job_status(view) for view in views)

    def alerts(self) -> tuple[Alert, ...]:
        """Return what an operator should look at."""
        alerts = [
            Alert("endpoint_down", "page", f"{name} cannot be reached")
            for name, endpoint in self._endpoints.by_id.items()
            if "down" in endpoint.state
        ]
        if self._node.known_head > self._node.revision:
            behind = f"{self._node.revision} of {self._node.known_head}"
            alerts.append(Alert("records_behind", "ticket", behind))
        for noted in self.catalog.not_applied:
            text = f"{noted.key.kind}/{noted.key.name}: {noted.reason}"
            alerts.append(Alert("record_not_applied", "ticket", text))
        return tuple(alerts)


def _job_status(view):
    job, counts = view.job, view.counts
    return JobStatus(
        job_id=job.job_id,
        caller=job.caller,
        model=job.model,
        state=job.state.value,
        completed=counts.completed,
        failed=counts.failed,
        total=counts.total,
        due_wall_ms=job.deadline_ms,
    )
