"""Which software version began each stream, so that no other goes on with it."""

from rudderpass.origins._keepers import (
    KEEPERS as KEEPERS,
    choose_archiver as choose_archiver,
    choose_keepers as choose_keepers,
    is_archiver as is_archiver,
)
from rudderpass.origins._table import (
    MAX_KEPT_SECONDS as MAX_KEPT_SECONDS,
    MAX_ORIGINS as MAX_ORIGINS,
    OriginTable as OriginTable,
    StreamKey as StreamKey,
    StreamOrigin as StreamOrigin,
)
from rudderpass.origins._tracker import (
    StreamOrigins as StreamOrigins,
    make_stream_key as make_stream_key,
)
from rudderpass.origins._versions import ServiceVersions as ServiceVersions
