"""Typed identifiers used across the package.

Every id is a plain string or integer at run time; the distinct types keep
an attempt from being taken for a request, or a caller for a workspace.
"""

from typing import NewType

__all__ = [
    "AttemptId",
    "CallerId",
    "DataCentreId",
    "EndpointId",
    "FenceToken",
    "Fingerprint",
    "InstanceId",
    "JobId",
    "ModelId",
    "NodeId",
    "RequestId",
    "Revision",
    "SoftwareVersion",
    "WorkspaceId",
]

RequestId = NewType("RequestId", str)
"""One request of a caller, the same over all its attempts."""

AttemptId = NewType("AttemptId", str)
"""One try to run a request on one endpoint."""

CallerId = NewType("CallerId", str)
"""Who sends requests: a workspace or an application."""

EndpointId = NewType("EndpointId", str)
"""A back end: one model engine or one plain service."""

NodeId = NewType("NodeId", str)
"""One process of the system: an entry or an agent."""

InstanceId = NewType("InstanceId", str)
"""One machine of the platform, as named by the instance list."""

DataCentreId = NewType("DataCentreId", str)
ModelId = NewType("ModelId", str)
JobId = NewType("JobId", str)

Fingerprint = NewType("Fingerprint", str)
"""Digest of model, caller and body: equal for resends of one request."""

FenceToken = NewType("FenceToken", int)
"""Number that grows with every new holder of a lease."""

Revision = NewType("Revision", int)
"""Place of a change in the one sequence of serving records."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of a replica's software; empty if its row states none."""

WorkspaceId = NewType("WorkspaceId", str)
"""A workspace of the users' platform; empty where there are none."""
