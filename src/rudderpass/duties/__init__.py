"""Tasks that one host at a time performs: usage reports, and orders for upstreams."""

from rudderpass.duties._coordinator import (
    Action as Action,
    ClusterView as ClusterView,
    DutyCoordinator as DutyCoordinator,
    ReadLog as ReadLog,
    SendOrder as SendOrder,
    SendReport as SendReport,
    WriteClaim as WriteClaim,
    WriteUsage as WriteUsage,
)
from rudderpass.duties._election import (
    HolderElection as HolderElection,
    LeasePolicy as LeasePolicy,
)
from rudderpass.duties._messages import (
    UNREADABLE_USAGE as UNREADABLE_USAGE,
    CallResult as CallResult,
    DutyClaim as DutyClaim,
    DutyHolder as DutyHolder,
    DutyLog as DutyLog,
    DutyStatus as DutyStatus,
    HostUsage as HostUsage,
    ScalingGroup as ScalingGroup,
    SettledUsage as SettledUsage,
    WindowUsage as WindowUsage,
    make_token as make_token,
)
from rudderpass.duties._planning import ScaledService as ScaledService
from rudderpass.duties._reports import (
    ReportPolicy as ReportPolicy,
    UsageReports as UsageReports,
)
from rudderpass.duties._scaling import ScaleOrders as ScaleOrders
from rudderpass.duties._usage import (
    UsageCounter as UsageCounter,
    UsageTracker as UsageTracker,
)
from rudderpass.duties._windows import WindowClock as WindowClock
