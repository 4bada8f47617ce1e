"""Publishing: appends operators' changes to the configuration stream and replays it."""

from rudderpass.publishing._publisher import (
    Applied as Applied,
    History as History,
    Publisher as Publisher,
    replay_page as replay_page,
)
