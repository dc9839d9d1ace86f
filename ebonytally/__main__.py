"""Runs the command line: ``python -m ebonytally``."""

from ebonytally import cli

cli.main()
