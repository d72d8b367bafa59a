"""Play a load pattern: ``python -m benchmarks.replay FILE [--against REV]``.

The pattern is played in virtual time over the services and decisions of this
checkout, and with ``--against`` over those of another revision with the same seed.
"""

import json
import shutil
import subprocess
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter, run

from benchmarks.patterns import figures_by_class, play, read_pattern
from chestnuthall.core.results import Failure

ROOT = Path(__file__).resolve().parent.parent
WORKTREES = ROOT / "build" / "replay"
EXIT_INVALID_PATTERN = 2


def main(
    file: Path,
    *,
    seed: int = 1,
    against: str | None = None,
    as_json: Annotated[bool, Parameter(name="--json")] = False,
) -> None:
    """Play a load pattern and print the figures of each class.

    Parameters
    ----------
    file
        Document of the load pattern.
    seed
        Seed of the arrivals and of the service times.
    against
        Git revision to play with the same seed, beside this checkout.
    as_json
        Print one JSON object instead of a table.
    """
    pattern = read_pattern(file)
    if isinstance(pattern, Failure):
        print(pattern.reason, file=sys.stderr)
        raise SystemExit(EXIT_INVALID_PATTERN)
    played = figures_by_class(play(pattern, seed))
    results = {"this": {name: asdict(item) for name, item in played.items()}}
    if against is not None:
        results[against] = _play_revision(file.resolve(), seed, against)
    if as_json:
        print(json.dumps({"seed": seed, "results": results}, indent=2))
        return
    for revision, classes in results.items():
        for name, figures in classes.items():
            row = "  ".join(f"{key} {_text(value)}" for key, value in figures.items())
            print(f"{revision:10} {name:10} {row}")


def _text(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"


def _play_revision(file: Path, seed: int, revision: str) -> dict[str, Any]:
    """Play the pattern over the package of another revision in a process of its own.

    The benchmarks are those of this checkout, so that both are measured alike.
    """
    tree = WORKTREES / revision
    _git("worktree", "add", "--detach", "--force", str(tree), revision)
    try:
        shutil.rmtree(tree / "benchmarks")
        shutil.copytree(ROOT / "benchmarks", tree / "benchmarks")
        command = [sys.executable, "-m", "benchmarks.replay", str(file), "--json"]
        command += ["--seed", str(seed)]
        output = subprocess.run(
            command, cwd=tree, check=True, capture_output=True, text=True
        ).stdout
    finally:
        _git("worktree", "remove", "--force", str(tree))
    results: dict[str, Any] = json.loads(output)["results"]["this"]
    return results


def _git(*arguments: str) -> None:
    subprocess.run(["git", "-C", str(ROOT), *arguments], check=True, text=True)


if __name__ == "__main__":
    run(main)
