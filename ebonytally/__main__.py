"""Entry point of the command line: ``python -m ebonytally``."""

from ebonytally.cli import cli

cli.main()
