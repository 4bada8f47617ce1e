"""Peers: signed batches of messages between nodes, over thrift."""

from rudderpass.peers._keys import (
    FixedKeys as FixedKeys,
    KeySource as KeySource,
    PeerKeyFile as PeerKeyFile,
    PeerKeys as PeerKeys,
)
from rudderpass.peers._link import LinkCounters as LinkCounters, PeerLinks as PeerLinks
from rudderpass.peers._server import PeerServer as PeerServer
