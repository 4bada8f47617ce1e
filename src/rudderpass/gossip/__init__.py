"""Hosts tell one another what they know, so that none depends on the store alone."""

from rudderpass.gossip._codec import (
    decode_beat as decode_beat,
    decode_prompts as decode_prompts,
    decode_state as decode_state,
    encode_beat as encode_beat,
    encode_prompts as encode_prompts,
    encode_state as encode_state,
)
from rudderpass.gossip._digest import Digest as Digest, Member as Member
from rudderpass.gossip._duties import (
    decode_duty_holder as decode_duty_holder,
    decode_settled_usage as decode_settled_usage,
    encode_duty_holder as encode_duty_holder,
    encode_settled_usage as encode_settled_usage,
)
from rudderpass.gossip._heartbeat import Beat as Beat
from rudderpass.gossip._peer_table import (
    CANDIDATE_SECONDS as CANDIDATE_SECONDS,
    NAMING_BEATS as NAMING_BEATS,
    Mesh as Mesh,
)
from rudderpass.gossip._relays import (
    RELAY_FROM as RELAY_FROM,
    Relaying as Relaying,
    choose_server as choose_server,
)
from rudderpass.gossip._store_following import FollowRule as FollowRule
from rudderpass.gossip._suspects import (
    decode_quarantined as decode_quarantined,
    encode_host_record as encode_host_record,
)
from rudderpass.gossip._transport import GossipTransport as GossipTransport
