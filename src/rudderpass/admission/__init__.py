"""Admission: the order of service, team limits and load shedding."""

from rudderpass.admission._limits import (
    LimitReached as LimitReached,
    TeamLimiter as TeamLimiter,
)
from rudderpass.admission._queue import AdmissionQueue as AdmissionQueue
from rudderpass.admission._reservation import Reservation as Reservation
