"""Entry point of the daemon on the platform."""

import gc
import os
import sys

# No module is freed, so collections during the imports find next to nothing.
gc.disable()
# The platform's protocols run over plain TCP, and asyncio works without TLS. Without
# OpenSSL the hashes are those of the interpreter, and a process saves 7 MB.
sys.modules["ssl"] = None  # type: ignore[assignment]
sys.modules["_hashlib"] = None  # type: ignore[assignment]
# Looking for plugins of pydantic reads the metadata of all installed packages.
os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")

from chestnuthall.platform._main import main  # noqa: E402

main()
