"""
Distinct types for identifiers.
"""

from typing import NewType

HostId = NewType("HostId", str)
Incarnation = NewType("Incarnation", str)
DataCentre = NewType("DataCentre", str)
ServiceName = NewType("ServiceName", str)
TargetId = NewType("TargetId", str)
TargetKey = NewType("TargetKey", str)
TargetIncarnation = NewType("TargetIncarnation", str)
RequestKey = NewType("RequestKey", str)
WorkspaceName = NewType("WorkspaceName", str)
KeyDigest = NewType("KeyDigest", bytes)
Address = NewType("Address", str)
OrderKey = NewType("OrderKey", str)
ClaimId = NewType("ClaimId", str)
Offset = NewType("Offset", int)
VersionNumber = NewType("VersionNumber", int)
