"""The node process: its core, listeners, timers and settings."""

from rudderpass.node._node import Node as Node
from rudderpass.node._settings import (
    NodeSettings as NodeSettings,
    check_address as check_address,
    read_keys as read_keys,
)
