"""Runs the tool as ``python -m chestnuthall.cli``."""

from chestnuthall.cli import main

main()
