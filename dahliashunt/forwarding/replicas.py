"""Registry of the replicas in the platform's list."""

import asyncio
import collections
from collections.abc import Callable
from dataclasses import dataclass

from dahliashunt.decisions.lapse_grace import Lapse
from dahliashunt.decisions.lapse_grace import LapseGrace
from dahliashunt.decisions.lapse_grace import ReadGap
from dahliashunt.decisions.listed_versions import ListedVersions
from dahliashunt.ids import DataCentreId
from dahliashunt.ids import SoftwareVersion

__all__ = ["Replica", "ReplicaRegistry"]

MAX_ENDED = 10_000
"""Ended incarnations that are remembered, the latest ones."""


@dataclass(frozen=True, slots=True)
class Replica:
    """One incarnation of a replica.

    Attributes
    ----------
    replica_id : str
        Id in the list; a restart may keep it.
    born_ms : int
        Wall-clock time of its start, which identifies the incarnation; 0 if
        unknown.
    service, host, port
    data_centre : DataCentreId
    slots : int
    leaving : bool
        Whether it refuses new requests.
    warm_in_ms : int
        Remaining warm-up time after its start.
    version : SoftwareVersion
        Events of replicas of two versions do not fit in one stream.
    """

    replica_id: str
    born_ms: int
    service: str
    host: str
    port: int
    data_centre: DataCentreId
    slots: int
    leaving: bool
    warm_in_ms: int = 0
    version: SoftwareVersion = SoftwareVersion("")

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return (self.host, self.port)

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start time, which identify this incarnation."""
        return (self.replica_id, self.born_ms)


class ReplicaRegistry:
    """Replicas by id, address and service.

    Rows that may have lapsed while the list could not be read are kept for a
    while: the first list after an outage may be nearly empty although the
    replicas are alive.

    Parameters
    ----------
    grace : LapseGrace, optional
        Decides how long.

    Attributes
    ----------
    changes : int
        Number of changes of the list; heartbeats are none.
    as_of_ms : callable
        Returns a time up to which all changes are known; None without one.
    has_lapsed : asyncio.Event
        Set while a row is kept that is gone from the list.
    """

    def __init__(self, grace: LapseGrace | None = None):
        self.changes = 0
        self.as_of_ms: Callable[[], int | None] = lambda: None
        self.has_lapsed = asyncio.Event()
        self._grace = grace or LapseGrace()
        self._replica_by_id: dict[str, Replica] = {}
        self._version_by_id: dict[str, int] = {}
        self._ids_by_address: dict[tuple[str, int], set[str]] = {}
        self._current_by_address: dict[tuple[str, int], str] = {}
        self._usable_by_service: dict[str, tuple[Replica, ...]] = {}
        self._lapse_by_id: dict[str, Lapse] = {}
        self._warm_at_ms_by_id: dict[str, int] = {}
        self._versions = ListedVersions()
        # Pairs of a time and a replica whose incarnation had ended by then.
        self._ended: collections.deque[tuple[int, Replica]] = (
            collections.deque(maxlen=MAX_ENDED)
        )
        self._known_services: frozenset[str] | None = None

    def gap_ended(self, gap: ReadGap) -> None:
        """Record that the list can be read again."""
        self._grace.gap_ended(gap)

    def put(self, replica: Replica, version: int, now_ms: int) -> None:
        """Add or update the row of `replica`, written at `version`.

        Of several rows with one address the latest is used: after a crash a
        new replica may start at the address while the old row has not yet
        expired. Earlier rows are kept, since the rows of a list come in any
        order.
        """
        replica_id = replica.replica_id
        held = self._replica_by_id.get(replica_id)
        self._version_by_id[replica_id] = version
        if replica.warm_in_ms > 0:
            self._warm_at_ms_by_id[replica_id] = now_ms + replica.warm_in_ms
        else:
            self._warm_at_ms_by_id.pop(replica_id, None)
        self._lapse_by_id.pop(replica_id, None)
        if held != replica:
            if held is not None:
                self._versions.note_gone(now_ms, held.service, held.version)
                if held.incarnation != replica.incarnation:
                    self._note_ended(held, now_ms)
                if held.address != replica.address:
                    self._remove_from_address(held)
            self._replica_by_id[replica_id] = replica
            at_address = self._ids_by_address.setdefault(
                replica.address, set()
            )
            at_address.add(replica_id)
            self._note_change()
        self._update_current(replica.address)

    def _remove_from_address(self, replica):
        at_address = self._ids_by_address[replica.address]
        at_address.discard(replica.replica_id)
        if not at_address:
            del self._ids_by_address[replica.address]
        self._update_current(replica.address)

    def know_services(self, services: frozenset[str]) -> None:
        """Use only replicas of `services`, those of the configuration.

        A row of another service names no replica: it gets no messages and
        does not take the address of a sound row.
        """
        if services == self._known_services:
            return
        self._known_services = services
        for address in list(self._ids_by_address):
            self._update_current(address)
        self._note_change()

    def _is_known(self, replica):
        known = self._known_services
        return known is None or replica.service in known

    def _update_current(self, address):
        at_address = [
            replica_id
            for replica_id in self._ids_by_address.get(address, ())
            if self._is_known(self._replica_by_id[replica_id])
        ]
        newest = max(at_address, key=self._version_by_id.get, default=None)
        if newest == self._current_by_address.get(address):
            return
        self._note_change()
        if newest is None:
            del self._current_by_address[address]
        else:
            self._current_by_address[address] = newest

    def _note_change(self):
        self.changes += 1
        self._usable_by_service.clear()

    def remove(self, replica_id: str, now_ms: int) -> None:
        """Remove a row, or mark it as lapsed shortly after an outage."""
        if replica_id not in self._replica_by_id:
            return
        lapse = self._grace.lapse(now_ms, self.as_of_ms())
        if lapse is None:
            self._forget(replica_id, now_ms)
            return
        self._lapse_by_id.setdefault(replica_id, lapse)
        self.has_lapsed.set()

    def replace_all(self, replicas, now_ms: int) -> None:
        """Replace all rows; `replicas` holds pairs of replica and version."""
        self._versions.restart(now_ms)
        listed = {replica.replica_id for replica, _ in replicas}
        for replica_id in list(self._replica_by_id):
            if replica_id not in listed:
                self.remove(replica_id, now_ms)
        for replica, version in replicas:
            self.put(replica, version, now_ms)

    def expire(self, now_ms: int) -> None:
        """Remove lapsed rows that were not renewed in time."""
        depleted = self._depleted_services()
        for replica_id, lapse in list(self._lapse_by_id.items()):
            until_ms = lapse.until_ms
            if self._replica_by_id[replica_id].service in depleted:
                until_ms = lapse.until_ms_if_most_lapsed
            if now_ms >= until_ms:
                self._forget(replica_id, now_ms)
        if not self._lapse_by_id:
            self.has_lapsed.clear()

    def _depleted_services(self):
        """Return the services of which more replicas lapsed than are left."""
        balance = collections.Counter()
        for replica_id, replica in self._replica_by_id.items():
            is_lapsed = replica_id in self._lapse_by_id
            balance[replica.service] += 1 if is_lapsed else -1
        return {service for service, lapsed in balance.items() if lapsed > 0}

    def _forget(self, replica_id, now_ms):
        replica = self._replica_by_id.pop(replica_id, None)
        self._lapse_by_id.pop(replica_id, None)
        if replica is not None:
            self._versions.note_gone(now_ms, replica.service, replica.version)
            self._note_ended(replica, now_ms)
            self._note_change()
            self._remove_from_address(replica)
        self._version_by_id.pop(replica_id, None)
        self._warm_at_ms_by_id.pop(replica_id, None)

    def _note_ended(self, replica, now_ms):
        if not replica.leaving:
            self._ended.append((now_ms, replica))

    def ended_since(self, from_ms: int, service: str) -> set[tuple[str, int]]:
        """Return the incarnations of `service` that ended without a notice.

        Parameters
        ----------
        from_ms : int
            Monotonic time from which the list has shown their end.
        service : str
        """
        return {
            replica.incarnation
            for ended_ms, replica in self._ended
            if ended_ms >= from_ms and replica.service == service
        }

    def is_cold(self, replica: Replica, now_ms: int) -> bool:
        """Return whether `replica` is still warming up.

        Its warm-up time counts from when its row was last put here.
        """
        warm_at_ms = self._warm_at_ms_by_id.get(replica.replica_id)
        return warm_at_ms is not None and now_ms < warm_at_ms

    def warm_in_ms(self, replica: Replica, now_ms: int) -> int:
        """Return the remaining warm-up time of `replica`."""
        warm_at_ms = self._warm_at_ms_by_id.get(replica.replica_id, now_ms)
        return max(0, warm_at_ms - now_ms)

    def has_ended(self, replica: Replica) -> bool:
        """Return whether that incarnation of a replica is listed no more."""
        held = self._replica_by_id.get(replica.replica_id)
        if held is None or held.incarnation != replica.incarnation:
            return True
        current = self._current_by_address.get(held.address)
        return current not in (None, replica.replica_id)

    def is_leaving(self, replica: Replica) -> bool:
        """Return whether that incarnation of a replica is being drained."""
        held = self._replica_by_id.get(replica.replica_id)
        if held is None or held.incarnation != replica.incarnation:
            return False
        return held.leaving

    def get(self, replica_id: str) -> Replica | None:
        """Return the replica with the id `replica_id`, or None."""
        return self._replica_by_id.get(replica_id)

    def at(self, address: tuple[str, int]) -> Replica | None:
        """Return the replica that is used at `address`, or None."""
        return self._replica_by_id.get(self._current_by_address.get(address))

    def of_service(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of `service` that take new requests.

        The result is cached: the same tuple until the list changes.
        """
        usable = self._usable_by_service.get(service)
        if usable is None:
            usable = tuple(
                replica
                for replica in self._replica_by_id.values()
                if replica.service == service and self._is_usable(replica)
            )
            self._usable_by_service[service] = usable
        return usable

    def _is_usable(self, replica):
        current = self._current_by_address.get(replica.address)
        return not replica.leaving and current == replica.replica_id

    def versions_since(
        self, from_ms: int, service: str
    ) -> set[SoftwareVersion]:
        """Return the versions of `service` known to be listed since a time.

        The result is complete only if `covers` that time.
        """
        listed = {
            replica.version
            for replica in self._replica_by_id.values()
            if replica.service == service
        }
        return listed | self._versions.gone_since(from_ms, service)

    def covers(self, from_ms: int) -> bool:
        """Return whether every change of the list since a time was read."""
        return self._versions.covers(from_ms)

    def services(self) -> set[str]:
        """Return the services of all listed replicas."""
        return {replica.service for replica in self.all()}

    def all(self) -> list[Replica]:
        """Return all listed replicas of known services."""
        return list(filter(self._is_known, self._replica_by_id.values()))
