"""Guards against a tutorial whose commands print something else than it shows.

Runs the commands of docs/tutorial.md in one shell and compares their exit codes and
output with the page.
"""

import re
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
EXIT_CODE_NOTE = re.compile(r"  # ends with (\d+)$")


@dataclass
class Step:
    """A command of the page with its expected exit code and output lines."""

    command: str
    code: int = 0
    expected_lines: list[str] = field(default_factory=list)


def read_steps(page):
    steps = []
    for block in re.findall(r"^```console\n(.*?)^```", page, re.M | re.S):
        for line in block.splitlines():
            if line.startswith("$ "):
                found = EXIT_CODE_NOTE.search(line)
                code = int(found.group(1)) if found else 0
                steps.append(Step(EXIT_CODE_NOTE.sub("", line[2:]), code))
            elif line.startswith("> "):
                steps[-1].command += "\n" + line[2:]
            else:
                steps[-1].expected_lines.append(line)
    return steps


def make_script(steps):
    lines = [f'chestnuthall() {{ "{sys.executable}" -m chestnuthall.cli "$@"; }}']
    lines.append(f'python() {{ exec "{sys.executable}" "$@"; }}')
    lines.append("exec 2>&1")
    for number, step in enumerate(steps):
        lines += [f"echo @begin {number}", step.command, f"echo @end {number} $?"]
    return "\n".join(lines) + "\nwait\n"


def collapse_whitespace(text):
    return " ".join(text.split())


@pytest.mark.processes
def test_every_command_prints_what_the_page_shows(tmp_path):
    steps = read_steps((ROOT / "docs" / "tutorial.md").read_text())
    completed = subprocess.run(
        ["bash", "-c", make_script(steps)],
        cwd=tmp_path,
        env={"PYTHONPATH": str(ROOT), "PATH": "/usr/bin:/bin", "COLUMNS": "160"},
        capture_output=True,
        text=True,
        timeout=180,
    )
    for number, step in enumerate(steps):
        pattern = rf"@begin {number}\n(.*?)@end {number} (\d+)\n"
        found = re.search(pattern, completed.stdout, re.S)
        assert found is not None, (step.command, completed.stdout, completed.stderr)
        printed = collapse_whitespace(found.group(1))
        assert int(found.group(2)) == step.code, (step.command, printed)
        for line in step.expected_lines:
            patterns = [
                re.escape(collapse_whitespace(fragment)) for fragment in line.split("…")
            ]
            assert re.search(".*".join(patterns), printed), (
                step.command,
                line,
                printed,
            )
