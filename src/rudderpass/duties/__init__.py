"""Duties that one host at a time has: usage reports, and orders for upstreams."""

from rudderpass.duties._coordinator import (
    Action as Action,
    DutyKeeper as DutyKeeper,
    ReadLog as ReadLog,
    SendOrder as SendOrder,
    SendReport as SendReport,
    Surroundings as Surroundings,
    WriteClaim as WriteClaim,
    WriteUsage as WriteUsage,
)
from rudderpass.duties._election import Holding as Holding, HoldingRule as HoldingRule
from rudderpass.duties._messages import (
    UNREADABLE_USAGE as UNREADABLE_USAGE,
    CallResult as CallResult,
    DutyHolder as DutyHolder,
    DutyLog as DutyLog,
    DutyNews as DutyNews,
    HostUsage as HostUsage,
    ScaleSubject as ScaleSubject,
    SettledUsage as SettledUsage,
    WindowUsage as WindowUsage,
)
from rudderpass.duties._reports import (
    ReportRule as ReportRule,
    UsageReports as UsageReports,
)
from rudderpass.duties._scaling import (
    ScaledService as ScaledService,
    ScaleOrders as ScaleOrders,
    plan_upstreams as plan_upstreams,
)
from rudderpass.duties._usage import (
    UsageBook as UsageBook,
    UsageCounter as UsageCounter,
)
from rudderpass.duties._windows import WindowClock as WindowClock
