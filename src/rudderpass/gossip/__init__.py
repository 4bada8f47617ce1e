"""Gossip between hosts, so that none depends on the platform's store alone."""

from rudderpass.gossip._codec import (
    decode_heartbeat as decode_heartbeat,
    decode_prompts as decode_prompts,
    decode_state as decode_state,
    encode_heartbeat as encode_heartbeat,
    encode_prompts as encode_prompts,
    encode_state as encode_state,
)
from rudderpass.gossip._cross_region import (
    CROSS_REGION_HEARTBEATS as CROSS_REGION_HEARTBEATS,
    CrossRegionSchedule as CrossRegionSchedule,
    RelayTurn as RelayTurn,
    UrgentChanges as UrgentChanges,
    WaitingLimits as WaitingLimits,
)
from rudderpass.gossip._digest import Digest as Digest, Member as Member
from rudderpass.gossip._duties import (
    decode_duty_claim as decode_duty_claim,
    decode_settled_usage as decode_settled_usage,
    encode_duty_claim as encode_duty_claim,
    encode_settled_usage as encode_settled_usage,
)
from rudderpass.gossip._heartbeat import Heartbeat as Heartbeat
from rudderpass.gossip._origins import (
    MAX_SENT_ORIGINS as MAX_SENT_ORIGINS,
    OriginMessage as OriginMessage,
    Versions as Versions,
    decode_archived as decode_archived,
    encode_archived as encode_archived,
)
from rudderpass.gossip._peer_table import (
    CANDIDATE_SECONDS as CANDIDATE_SECONDS,
    HEARTBEATS_PER_PEER_SAMPLE as HEARTBEATS_PER_PEER_SAMPLE,
    PeerTable as PeerTable,
)
from rudderpass.gossip._relays import (
    MIN_HOSTS_FOR_RELAYS as MIN_HOSTS_FOR_RELAYS,
    RelayRole as RelayRole,
    assign_relay as assign_relay,
)
from rudderpass.gossip._store_following import FollowRule as FollowRule
from rudderpass.gossip._suspects import (
    VersionsOnRecord as VersionsOnRecord,
    decode_quarantined as decode_quarantined,
    decode_recorded_versions as decode_recorded_versions,
    decode_versions_on_record as decode_versions_on_record,
    encode_host_record as encode_host_record,
)
from rudderpass.gossip._transport import GossipTransport as GossipTransport
