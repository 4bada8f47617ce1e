"""The command line."""

from rudderpass.cli._main import main as main
