"""Entry point of the daemon on the platform."""

import sys

# The platform's protocols run over plain TCP, and asyncio works without TLS. Loading
# OpenSSL would take 4 MB in each process.
sys.modules["ssl"] = None  # type: ignore[assignment]

from chestnuthall.platform._main import main  # noqa: E402

main()
