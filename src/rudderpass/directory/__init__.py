"""What a host believes: the configuration in force and the upstreams there are."""

from rudderpass.directory._config import (
    CallerLimits as CallerLimits,
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
from rudderpass.directory._follower import (
    CURRENT_SECONDS as CURRENT_SECONDS,
    Clock as Clock,
    HistoryLost as HistoryLost,
    KeyedLog as KeyedLog,
    KeyedPage as KeyedPage,
    Reachability as Reachability,
    StoreFollower as StoreFollower,
)
from rudderpass.directory._messages import (
    DirectoryState as DirectoryState,
    KeyedRecord as KeyedRecord,
    Learned as Learned,
)
from rudderpass.directory._reader import Decoders as Decoders
from rudderpass.directory._upstreams import (
    RegisteredUpstream as RegisteredUpstream,
    UpstreamList as UpstreamList,
    UpstreamRecord as UpstreamRecord,
    identify_start as identify_start,
)
from rudderpass.directory._urgency import (
    URGENCY_RANKS as URGENCY_RANKS,
    rank_urgency as rank_urgency,
)
