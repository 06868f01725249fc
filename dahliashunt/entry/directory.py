"""The task that keeps links to the right agents.

Agents come from the platform's instance list, which lags by seconds, and
from the settings. The list only says where to dial: an agent that it
forgets for a moment is kept while its link is up, since the list proves
nothing about life; one that it calls leaving gets no new work.
"""

import asyncio
from dataclasses import dataclass

from dahliashunt.decisions.link_choice import choose_links
from dahliashunt.entry.agent_link import AgentLink
from dahliashunt.entry.agent_link import LinkState
from dahliashunt.entry.dispatcher import LinkDropped
from dahliashunt.entry.dispatcher import ListedLeaving
from dahliashunt.entry.settings import AgentAddress
from dahliashunt.errors import PlatformError
from dahliashunt.ports.instances import InstanceKind
from dahliashunt.ports.instances import InstanceState

__all__ = ["Directory"]


READ_MS_AN_AGENT = 4


@dataclass(slots=True)
class _Held:
    link: AgentLink
    task: asyncio.Task


class Directory:
    """Starts and stops links.

    Parameters
    ----------
    settings : EntrySettings
    instances : InstanceList or None
    new_link : callable
        Makes an `AgentLink` for an `AgentAddress`.
    dispatcher : Mailbox
    clock : Clock
    log : structlog logger
    """

    def __init__(self, settings, instances, new_link, dispatcher, clock, log):
        self._settings = settings
        self._instances = instances
        self._new_link = new_link
        self._dispatcher = dispatcher
        self._clock = clock
        self._log = log
        self._held_by_endpoint: dict[str, _Held] = {}
        self._listed_by_endpoint: dict[str, AgentAddress] = {
            address.endpoint_id: address for address in settings.agents
        }

    @property
    def links(self) -> list[AgentLink]:
        """All links held now."""
        return [held.link for held in self._held_by_endpoint.values()]

    async def run(self) -> None:
        """Follow the instance list until cancelled."""
        try:
            self._link_all()
            while self._instances is not None:
                await self._read_list()
                await self._clock.sleep_ms(self._period_ms())
            await asyncio.Event().wait()
        finally:
            for held in self._held_by_endpoint.values():
                held.task.cancel()

    def _period_ms(self):
        """Return the time between two reads, longer for a longer list.

        The list comes whole: 1.2 MB at 7,500 instances.
        """
        listed = len(self._listed_by_endpoint)
        return max(
            self._settings.platform.instances_ms, listed * READ_MS_AN_AGENT
        )

    async def _read_list(self):
        try:
            listed = await self._instances.read()
        except PlatformError:
            # What is linked stays linked; the list is only an address
            # book, and its outage must not stop any service.
            return
        agents = [
            instance
            for instance in listed
            if instance.kind is InstanceKind.AGENT
        ]
        leaving = {
            instance.endpoint_id
            for instance in agents
            if instance.state is InstanceState.LEAVING
        }
        self._listed_by_endpoint = {
            address.endpoint_id: address for address in self._settings.agents
        }
        for instance in agents:
            self._listed_by_endpoint[instance.endpoint_id] = AgentAddress(
                instance.endpoint_id,
                instance.host,
                instance.port,
                instance.data_centre,
            )
        self._link_all()
        self._dispatcher.put(ListedLeaving(frozenset(leaving)))

    def _link_all(self):
        chosen = choose_links(
            self._settings.node_id,
            self._listed_by_endpoint,
            self._settings.max_links,
        )
        for endpoint_id, held in list(self._held_by_endpoint.items()):
            address = self._listed_by_endpoint.get(endpoint_id)
            moved = address is not None and not _same_place(
                address, held.link.address
            )
            is_up = held.link.state is LinkState.UP
            if moved or (endpoint_id not in chosen and not is_up):
                self._drop(endpoint_id)
        for endpoint_id in chosen:
            if endpoint_id not in self._held_by_endpoint:
                self._add(self._listed_by_endpoint[endpoint_id])

    def _add(self, address):
        link = self._new_link(address)
        task = asyncio.create_task(link.run())
        self._held_by_endpoint[address.endpoint_id] = _Held(link, task)

    def _drop(self, endpoint_id):
        held = self._held_by_endpoint.pop(endpoint_id)
        held.task.cancel()
        self._dispatcher.put(LinkDropped(held.link))
        self._log.info("link_dropped", endpoint=endpoint_id)


def _same_place(one, other):
    return (one.host, one.port) == (other.host, other.port)
