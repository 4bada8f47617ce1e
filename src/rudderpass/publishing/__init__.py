"""Publishing: operators' changes to the configuration stream, and its replay."""

from rudderpass.publishing._publisher import (
    Applied as Applied,
    History as History,
    Publisher as Publisher,
    replay_page as replay_page,
)
