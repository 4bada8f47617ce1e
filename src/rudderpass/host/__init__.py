"""One host that serves exchanges on a platform."""

from rudderpass.host._host import ExchangeHost as ExchangeHost, Platform as Platform
from rudderpass.host._settings import (
    DutySettings as DutySettings,
    HostSettings as HostSettings,
    OrderMode as OrderMode,
)
