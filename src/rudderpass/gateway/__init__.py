"""The gateway: validates and serves callers' HTTP requests."""

from rudderpass.gateway._admission import (
    Admission as Admission,
    Decision as Decision,
    PendingRequest as PendingRequest,
)
from rudderpass.gateway._app import Gateway as Gateway
from rudderpass.gateway._disconnect import DisconnectWatcher as DisconnectWatcher
from rudderpass.gateway._idempotency import REPLAYED_HEADER as REPLAYED_HEADER
from rudderpass.gateway._problems import (
    OUTCOME_HEADER as OUTCOME_HEADER,
    REQUEST_ID_HEADER as REQUEST_ID_HEADER,
    Problem as Problem,
    ProblemCode as ProblemCode,
    reply_to_bad_request as reply_to_bad_request,
)
from rudderpass.gateway._request import (
    CLASS_HEADER as CLASS_HEADER,
    KEY_HEADER as KEY_HEADER,
    LABELS_HEADER as LABELS_HEADER,
    CallerRequest as CallerRequest,
    read_request as read_request,
)
from rudderpass.gateway._services import Services as Services
