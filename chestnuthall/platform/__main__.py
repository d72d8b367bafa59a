"""Entry point of the daemon on the platform."""

import signal

# The settings file is read only at the start, so a change of it needs no action. The
# signal may come while the modules are still being imported.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gc  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

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
