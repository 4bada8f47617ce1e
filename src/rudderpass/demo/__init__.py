"""The demo: a small deployment in one process, with every answer checked."""

from rudderpass.demo._deployment import (
    DemoDeployment as DemoDeployment,
    demo_token as demo_token,
    free_address as free_address,
)
from rudderpass.demo._report import DemoResult as DemoResult, render as render
from rudderpass.demo._run import DemoOptions as DemoOptions, run_demo as run_demo
