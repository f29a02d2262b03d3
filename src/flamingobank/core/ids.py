"""Identifier types that all packages share."""

from typing import NewType

NodeId = NewType("NodeId", str)
InstanceId = NewType("InstanceId", str)
BootId = NewType("BootId", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
WorkspaceId = NewType("WorkspaceId", str)
FailureDomain = NewType("FailureDomain", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
Fingerprint = NewType("Fingerprint", bytes)
