"""A host: accepts HTTP requests from callers and forwards them to upstreams."""

from rudderpass.exchange import ColdLimit as ColdLimit
from rudderpass.host._host import ExchangeHost as ExchangeHost
from rudderpass.host._platform import Platform as Platform
from rudderpass.host._settings import (
    DutySettings as DutySettings,
    HostSettings as HostSettings,
    OrderMode as OrderMode,
)
