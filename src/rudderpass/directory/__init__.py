"""A host's view of the active configuration and of the registered upstreams."""

from rudderpass.directory._config import (
    CallerLimits as CallerLimits,
    ColdStartTraits as ColdStartTraits,
    EngineTraits as EngineTraits,
    ExchangeConfig as ExchangeConfig,
    ExchangeRoute as ExchangeRoute,
    ExchangeTeam as ExchangeTeam,
    RouteKind as RouteKind,
    ScalingTraits as ScalingTraits,
    ServiceShare as ServiceShare,
    ServiceSpec as ServiceSpec,
)
from rudderpass.directory._directory import Directory as Directory
from rudderpass.directory._evacuations import (
    MAX_ZONES as MAX_ZONES,
    Evacuations as Evacuations,
    EvacuationStatement as EvacuationStatement,
)
from rudderpass.directory._follower import (
    STALE_AFTER_SECONDS as STALE_AFTER_SECONDS,
    Clock as Clock,
    HistoryChange as HistoryChange,
    ReachabilityChange as ReachabilityChange,
    StoreFollower as StoreFollower,
)
from rudderpass.directory._keyed_log import (
    HistoryLost as HistoryLost,
    KeyedLog as KeyedLog,
    KeyedPage as KeyedPage,
)
from rudderpass.directory._messages import (
    DirectoryChange as DirectoryChange,
    DirectoryState as DirectoryState,
    KeyedRecord as KeyedRecord,
)
from rudderpass.directory._position import (
    UNKNOWN_ERA as UNKNOWN_ERA,
    LogPosition as LogPosition,
    ViewPosition as ViewPosition,
)
from rudderpass.directory._reader import Decoders as Decoders
from rudderpass.directory._regions import RegionMap as RegionMap
from rudderpass.directory._retention import (
    ENTRY_LIFETIME_SECONDS as ENTRY_LIFETIME_SECONDS,
)
from rudderpass.directory._upstreams import (
    LearnedTimes as LearnedTimes,
    RegisteredUpstream as RegisteredUpstream,
    UpstreamList as UpstreamList,
    UpstreamRecord as UpstreamRecord,
    make_instance_id as make_instance_id,
)
from rudderpass.directory._urgency import (
    URGENCY_RANKS as URGENCY_RANKS,
    rank_urgency as rank_urgency,
)
