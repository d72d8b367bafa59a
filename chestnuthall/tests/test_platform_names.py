"""Tests that only :mod:`chestnuthall.platform` depends on the platform's names.

Guards against other code that uses a header, setting or stored field of the platform,
or that imports the platform's package.
"""

import re
from pathlib import Path

import pytest

import chestnuthall

PACKAGE = Path(chestnuthall.__file__).parent
ROOT = PACKAGE.parent
# Names in the platform's protocols, settings and stored objects that all other code
# must not use.
PLATFORM_NAMES = (
    "X-Server-Stamp",
    "X-Part-Stamps",
    "X-Missing-Parts",
    "X-Expect-Instance",
    "X-Not-Executed",
    "X-Request-Deadline-Ms",
    "TrafficSplit",
    "MinShardShare",
    "MaxAttempts",
    "TargetLatencyMs",
    "WarmupLeftMs",
    "AllowStale",
    "WaitMs",
    "StableWindowMs",
    "CHESTNUTHALL_BOOT",
)
PATTERN = re.compile("|".join(map(re.escape, PLATFORM_NAMES)), re.IGNORECASE)
SOURCES = sorted(
    path
    for folder in ("chestnuthall", "benchmarks", "examples")
    for path in (ROOT / folder).rglob("*.py")
    if not path.is_relative_to(PACKAGE / "platform") and path != Path(__file__)
)


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(ROOT)))
def test_source_does_not_refer_to_the_platform(path):
    found = PATTERN.findall(path.read_text())
    assert not found
    assert "chestnuthall.platform" not in path.read_text()
