"""Guards the tutorial: every command on it must do what the page shows."""

import re
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
ENDS_WITH = re.compile(r"  # ends with (\d+)$")


@dataclass
class Step:
    """A command with its exit code and the lines that the page shows."""

    command: str
    code: int = 0
    shown: list[str] = field(default_factory=list)


def read_steps(page):
    steps = []
    for block in re.findall(r"^```console\n(.*?)^```", page, re.M | re.S):
        for line in block.splitlines():
            if line.startswith("$ "):
                found = ENDS_WITH.search(line)
                code = int(found.group(1)) if found else 0
                steps.append(Step(ENDS_WITH.sub("", line[2:]), code))
            elif line.startswith("> "):
                steps[-1].command += "\n" + line[2:]
            else:
                steps[-1].shown.append(line)
    return steps


def script_of(steps):
    lines = [f'chestnuthall() {{ "{sys.executable}" -m chestnuthall.cli "$@"; }}']
    lines.append(f'python() {{ exec "{sys.executable}" "$@"; }}')
    lines.append("exec 2>&1")
    for number, step in enumerate(steps):
        lines += [f"echo @begin {number}", step.command, f"echo @end {number} $?"]
    return "\n".join(lines) + "\nwait\n"


def squeezed(text):
    return " ".join(text.split())


@pytest.mark.processes
def test_every_command_prints_what_the_page_shows(tmp_path):
    steps = read_steps((ROOT / "docs" / "tutorial.md").read_text())
    done = subprocess.run(
        ["bash", "-c", script_of(steps)],
        cwd=tmp_path,
        env={"PYTHONPATH": str(ROOT), "PATH": "/usr/bin:/bin", "COLUMNS": "160"},
        capture_output=True,
        text=True,
        timeout=180,
    )
    for number, step in enumerate(steps):
        pattern = rf"@begin {number}\n(.*?)@end {number} (\d+)\n"
        found = re.search(pattern, done.stdout, re.S)
        assert found is not None, (step.command, done.stdout, done.stderr)
        printed = squeezed(found.group(1))
        assert int(found.group(2)) == step.code, (step.command, printed)
        for line in step.shown:
            parts = [re.escape(squeezed(part)) for part in line.split("…")]
            assert re.search(".*".join(parts), printed), (step.command, line, printed)
