"""Slot protocol between entries and agents, over datagrams."""

from dahliashunt.adapters.slots.client import SlotAttempt
from dahliashunt.adapters.slots.client import SlotClient
from dahliashunt.adapters.slots.datagrams import open_datagrams
from dahliashunt.adapters.slots.server import SlotServer

__all__ = ["SlotAttempt", "SlotClient", "SlotServer", "open_datagrams"]
