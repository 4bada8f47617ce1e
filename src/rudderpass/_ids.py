"""Identifiers that several packages use, as distinct types."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""A node's address, ``ip:port`` of its peer port."""

RequestId = NewType("RequestId", str)
"""One request of a caller; unique across all nodes."""

TeamId = NewType("TeamId", str)
ClassName = NewType("ClassName", str)
RouteName = NewType("RouteName", str)
AvailabilityZone = NewType("AvailabilityZone", str)

Region = NewType("Region", str)
"""A group of availability zones; the network between regions is slow and expensive."""

Fingerprint = NewType("Fingerprint", bytes)
"""Shared by all retries of one request, whose ids differ, or by all prompts with one
part at one service."""

PartId = NewType("PartId", str)
"""Identifies one part of a prompt; equal parts of different prompts share an id."""

RequestDigest = NewType("RequestDigest", int)
"""A signed 64-bit digest that tells requests with one part apart."""

UpstreamId = NewType("UpstreamId", str)
"""One instance of an upstream: a restart discards its state and all records of it."""

UpstreamName = NewType("UpstreamName", str)
"""The id under which an upstream registers; it may keep the id when it restarts."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of the software that an upstream runs; versions have no order."""

PoolId = NewType("PoolId", str)
"""The runner whose upstreams share one queue."""

Version = NewType("Version", int)
"""A configuration version: one more than the offset of the log record that created it,
so that 0 is the empty configuration."""

StoreEra = NewType("StoreEra", int)
"""Rises by one each time the platform's store comes back from a copy. The copy may lack
the newest records; their offsets are then given to other records."""

FencingToken = NewType("FencingToken", int)
"""Increases with each change of a duty's holder; the platform rejects lower ones."""
