"""Entry point of ``python -m rudderpass``."""

from rudderpass.cli import main

main()
