"""Entry point of the daemon on the platform."""

from chestnuthall.platform._main import main

main()
