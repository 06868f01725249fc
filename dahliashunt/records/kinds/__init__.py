"""Schemas of each kind of record; importing this registers them all."""

from dahliashunt.records.kinds.callers import caller_v1
from dahliashunt.records.kinds.callers import caller_v2
from dahliashunt.records.kinds.deployments import deployment_v1
from dahliashunt.records.kinds.deployments import deployment_v2
from dahliashunt.records.kinds.models import adapter_v1
from dahliashunt.records.kinds.models import model_v1
from dahliashunt.records.kinds.policies import batch_policy_v1
from dahliashunt.records.kinds.policies import endpoint_drain_v1
from dahliashunt.records.kinds.policies import operator_v1
from dahliashunt.records.kinds.services import service_v1

__all__ = [
    "adapter_v1",
    "batch_policy_v1",
    "caller_v1",
    "caller_v2",
    "deployment_v1",
    "deployment_v2",
    "endpoint_drain_v1",
    "model_v1",
    "operator_v1",
    "service_v1",
]
