"""Signed message batches between nodes, over thrift calls and UDP datagrams."""

from rudderpass.peers._keys import (
    FixedKeys as FixedKeys,
    KeySource as KeySource,
    PeerKeyFile as PeerKeyFile,
    PeerKeys as PeerKeys,
)
from rudderpass.peers._link import (
    LinkCounters as LinkCounters,
    PeerLinks as PeerLinks,
    measure_batch as measure_batch,
)
from rudderpass.peers._server import PeerServer as PeerServer
