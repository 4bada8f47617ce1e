"""Run the command line with ``python -m rudderpass``."""

from rudderpass.cli import main

main()
