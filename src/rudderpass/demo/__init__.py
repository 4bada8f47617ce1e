"""The demo: a whole small deployment in one process, checked answer by answer."""

from rudderpass.demo._deployment import (
    World as World,
    free_address as free_address,
    token_of as token_of,
)
from rudderpass.demo._report import DemoResult as DemoResult, render as render
from rudderpass.demo._run import DemoOptions as DemoOptions, run_demo as run_demo
