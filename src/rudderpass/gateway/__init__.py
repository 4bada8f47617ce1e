"""The gateway: callers' HTTP requests, their checks, and their answers."""

from rudderpass.gateway._admission import (
    Admission as Admission,
    Decision as Decision,
    Ticket as Ticket,
)
from rudderpass.gateway._app import Gateway as Gateway
from rudderpass.gateway._disconnect import CallerWatch as CallerWatch
from rudderpass.gateway._idempotency import REPLAYED_HEADER as REPLAYED_HEADER
from rudderpass.gateway._problems import (
    OUTCOME_HEADER as OUTCOME_HEADER,
    REQUEST_ID_HEADER as REQUEST_ID_HEADER,
    Problem as Problem,
    ProblemCode as ProblemCode,
    answer_bad_http as answer_bad_http,
)
from rudderpass.gateway._request import (
    CLASS_HEADER as CLASS_HEADER,
    KEY_HEADER as KEY_HEADER,
    LABELS_HEADER as LABELS_HEADER,
    CallerRequest as CallerRequest,
    read_request as read_request,
)
from rudderpass.gateway._services import Services as Services
