"""The decisions of one node, as a state machine that combines all components."""

from rudderpass.core._core import NodeCore as NodeCore
from rudderpass.core._messages import (
    Admitted as Admitted,
    ConfigInForce as ConfigInForce,
    CoreAction as CoreAction,
    OwnerChanged as OwnerChanged,
    PeerMessage as PeerMessage,
    RefusalKind as RefusalKind,
    Rejected as Rejected,
    SendPeer as SendPeer,
    StateReply as StateReply,
    StateRequest as StateRequest,
    Submission as Submission,
)
