"""Identifiers used across the slices, as distinct types."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""A node's address, ``ip:port`` of its peer port."""

RequestId = NewType("RequestId", str)
"""One caller request; unique over all nodes."""

TeamId = NewType("TeamId", str)
ClassName = NewType("ClassName", str)
RouteName = NewType("RouteName", str)
AvailabilityZone = NewType("AvailabilityZone", str)

Fingerprint = NewType("Fingerprint", bytes)
"""What all repetitions of one request share; their ids differ."""

UpstreamId = NewType("UpstreamId", str)
"""One start of an upstream: what it holds and what is known of it end with it."""

UpstreamName = NewType("UpstreamName", str)
"""The id under which an upstream registers; it may keep it when it starts again."""

PoolId = NewType("PoolId", str)
"""The runner whose upstreams share one queue."""

Version = NewType("Version", int)
"""A configuration version: one more than the offset of the log record that
made it, so that 0 is the empty configuration."""

FencingToken = NewType("FencingToken", int)
"""Rises with each change of a duty's holder; the platform refuses lower ones."""
