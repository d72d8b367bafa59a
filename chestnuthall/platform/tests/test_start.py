"""Tests the start of a process of the platform.

Guards against a process that ends by a change of the settings while it starts.
"""

import os
import subprocess
import sys

# Runs the program, and sends SIGHUP before each import of one of its modules and of
# asyncio. The packages themselves are imported before the program begins.
STARTER = """
import os, runpy, signal, sys

class HangUp:
    def find_spec(self, name, path=None, target=None):
        is_package = name in ("chestnuthall", "chestnuthall.platform")
        if name.startswith(("chestnuthall", "asyncio")) and not is_package:
            if not name.endswith("__main__"):
                os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, HangUp())
sys.argv = ["chestnuthall.platform", sys.argv[1]]
runpy.run_module("chestnuthall.platform", run_name="__main__")
"""
EXIT_INVALID_SETTINGS = 2


def test_sighup_during_the_start_does_not_end_the_process(tmp_path):
    """It ended the process until its handler was installed, after all imports."""
    result = subprocess.run(
        [sys.executable, "-c", STARTER, str(tmp_path / "missing")],
        capture_output=True,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        timeout=60,
        check=False,
    )
    assert result.returncode == EXIT_INVALID_SETTINGS, result.stderr
    assert b"cannot read" in result.stderr
