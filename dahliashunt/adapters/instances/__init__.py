"""Adapters to the platform's instance list."""

from dahliashunt.adapters.instances.http import HttpInstanceList
from dahliashunt.adapters.instances.http import instance_fields
from dahliashunt.adapters.instances.http import parse_instance

__all__ = ["HttpInstanceList", "instance_fields", "parse_instance"]
