"""Exchanges: proxying callers' requests to upstreams of the routed service."""

from rudderpass._ids import PartId as PartId
from rudderpass.exchange._app import ExchangeApp as ExchangeApp
from rudderpass.exchange._assignment import (
    Accepted as Accepted,
    Assignment as Assignment,
    RefusalReason as RefusalReason,
    Refused as Refused,
    SentPrompt as SentPrompt,
)
from rudderpass.exchange._brittle import (
    BrittleReport as BrittleReport,
    BrittleUpstreams as BrittleUpstreams,
)
from rudderpass.exchange._budget import (
    BudgetRule as BudgetRule,
    RetryDecision as RetryDecision,
    SharedRetryBudget as SharedRetryBudget,
)
from rudderpass.exchange._choice import (
    Choice as Choice,
    RoutingState as RoutingState,
    choose_upstream as choose_upstream,
)
from rudderpass.exchange._cold_starts import (
    MAX_COLD_SECONDS as MAX_COLD_SECONDS,
    MAX_SENT_COLD as MAX_SENT_COLD,
    ColdChange as ColdChange,
    ColdPeriod as ColdPeriod,
    ColdSource as ColdSource,
    ColdStarts as ColdStarts,
)
from rudderpass.exchange._connections import (
    UpstreamConnection as UpstreamConnection,
    UpstreamConnectionPool as UpstreamConnectionPool,
)
from rudderpass.exchange._core import ExchangeCore as ExchangeCore
from rudderpass.exchange._dialect import (
    ExchangeDialect as ExchangeDialect,
    SendContext as SendContext,
)
from rudderpass.exchange._events import (
    EventError as EventError,
    EventSplitter as EventSplitter,
)
from rudderpass.exchange._health import UpstreamHealth as UpstreamHealth
from rudderpass.exchange._held_bytes import HeldBytes as HeldBytes
from rudderpass.exchange._joint_rate import (
    SENDERS as SENDERS,
    ColdLimit as ColdLimit,
    JointRate as JointRate,
    split_rate as split_rate,
)
from rudderpass.exchange._load import (
    Load as Load,
    LoadReport as LoadReport,
    LoadTracker as LoadTracker,
    PrefillRate as PrefillRate,
)
from rudderpass.exchange._logging import (
    log_brittle as log_brittle,
    log_cold as log_cold,
    log_leaving as log_leaving,
    log_rate_limit as log_rate_limit,
)
from rudderpass.exchange._prefixes import PrefixIndex as PrefixIndex
from rudderpass.exchange._progress import (
    ExchangeContext as ExchangeContext,
    ExchangeOutcome as ExchangeOutcome,
    ExchangeSummary as ExchangeSummary,
)
from rudderpass.exchange._prompt_updates import RESEND_SECONDS as RESEND_SECONDS
from rudderpass.exchange._rate_limits import (
    MAX_SENT_LIMITS as MAX_SENT_LIMITS,
    HostRank as HostRank,
    RateLimits as RateLimits,
    RateLimitUpdate as RateLimitUpdate,
)
from rudderpass.exchange._request import (
    BadRequest as BadRequest,
    ExchangeRequest as ExchangeRequest,
    HeadChange as HeadChange,
    Headers as Headers,
    PromptPart as PromptPart,
    ResponseHead as ResponseHead,
    ResponseKind as ResponseKind,
)
from rudderpass.exchange._serve import (
    BrokenStream as BrokenStream,
    Exchange as Exchange,
)
from rudderpass.exchange._utilization import (
    estimate_busy_upstreams as estimate_busy_upstreams,
)
