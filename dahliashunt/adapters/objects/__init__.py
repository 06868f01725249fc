"""Adapters to the platform's object store."""

from dahliashunt.adapters.objects.http import HttpObjectStore
from dahliashunt.adapters.objects.memory import MemoryObjectStore

__all__ = ["HttpObjectStore", "MemoryObjectStore"]
