"""Exchanges: proxying callers' requests to upstreams of the routed service."""

from rudderpass.exchange._app import ExchangeApp as ExchangeApp
from rudderpass.exchange._assignment import (
    Accepted as Accepted,
    Assignment as Assignment,
    RefusalReason as RefusalReason,
    Refused as Refused,
    SentPrompt as SentPrompt,
)
from rudderpass.exchange._budget import (
    BudgetRule as BudgetRule,
    RepeatDecision as RepeatDecision,
    SharedRetryBudget as SharedRetryBudget,
)
from rudderpass.exchange._busy import count_busy as count_busy
from rudderpass.exchange._choice import (
    Choice as Choice,
    Knowledge as Knowledge,
    choose_upstream as choose_upstream,
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
from rudderpass.exchange._evidence import UpstreamEvidence as UpstreamEvidence
from rudderpass.exchange._load import (
    Load as Load,
    LoadBook as LoadBook,
    Reading as Reading,
    ToldWork as ToldWork,
)
from rudderpass.exchange._logging import (
    log_leaving as log_leaving,
    log_rate_limit as log_rate_limit,
)
from rudderpass.exchange._news import RETELL_SECONDS as RETELL_SECONDS
from rudderpass.exchange._prefixes import PrefixMemory as PrefixMemory
from rudderpass.exchange._progress import (
    ExchangeContext as ExchangeContext,
    ExchangeOutcome as ExchangeOutcome,
    ExchangeSummary as ExchangeSummary,
)
from rudderpass.exchange._rate_limits import (
    HostRank as HostRank,
    RateLimitNews as RateLimitNews,
    RateLimits as RateLimits,
)
from rudderpass.exchange._request import (
    BadRequest as BadRequest,
    ExchangeRequest as ExchangeRequest,
    HeadChange as HeadChange,
    Headers as Headers,
    PartId as PartId,
    PromptPart as PromptPart,
    ResponseHead as ResponseHead,
    ResponseKind as ResponseKind,
)
from rudderpass.exchange._serve import (
    BrokenStream as BrokenStream,
    Exchange as Exchange,
)
