"""Pools: the owner queues reservations and grants slots; entry nodes renew leases."""

from rudderpass.pools._entry import (
    RESPONSE_TIMEOUT_SECONDS as RESPONSE_TIMEOUT_SECONDS,
    EntryReservations as EntryReservations,
    Granted as Granted,
    Refused as Refused,
)
from rudderpass.pools._messages import (
    Cancel as Cancel,
    Grant as Grant,
    PoolMessage as PoolMessage,
    Queued as Queued,
    Release as Release,
    Renew as Renew,
    Resend as Resend,
    Reserve as Reserve,
    RoutingDecision as RoutingDecision,
    RunningRequest as RunningRequest,
    Send as Send,
    Shed as Shed,
)
from rudderpass.pools._owner import (
    GRACE_SECONDS as GRACE_SECONDS,
    PoolOwner as PoolOwner,
)
from rudderpass.pools._timing import (
    LEASE_INTERVALS as LEASE_INTERVALS,
    MIN_RENEW_SECONDS as MIN_RENEW_SECONDS,
    renew_interval as renew_interval,
)
