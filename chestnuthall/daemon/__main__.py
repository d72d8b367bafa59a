"""Run the daemon as ``python -m chestnuthall.daemon``."""

from chestnuthall.daemon import main

main()
