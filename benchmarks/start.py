"""Cost of starting a program: ``python -m benchmarks.start MODULE [--without ssl]``.

Imports the module in fresh interpreters and prints the processor time from the start
of the process and the memory afterwards, each the least of several rounds, beside the
figures of a bare interpreter.
"""

import json
import subprocess
import sys

from cyclopts import run

N_ROUNDS = 5
# Prints the processor time in ms and the resident and private memory in MB.
MEASUREMENT = """
import sys
for name in {without!r}:
    sys.modules[name] = None
if {module!r}:
    __import__({module!r})
import json, time
processor_ms = 1000.0 * time.process_time()
kilobytes = dict.fromkeys(("Rss", "Private_Clean", "Private_Dirty"), 0)
for line in open("/proc/self/smaps_rollup"):
    name, _, value = line.partition(":")
    if name in kilobytes:
        kilobytes[name] = int(value.split()[0])
private = kilobytes["Private_Clean"] + kilobytes["Private_Dirty"]
print(json.dumps([processor_ms, kilobytes["Rss"] / 1024.0, private / 1024.0]))
"""


def measure_start(module: str, without: tuple[str, ...] = ()) -> dict[str, float]:
    """Return the least figures of several starts; an empty module is none."""
    code = MEASUREMENT.format(module=module, without=without)
    rounds = [
        json.loads(
            subprocess.run(
                [sys.executable, "-c", code], check=True, capture_output=True
            ).stdout
        )
        for _ in range(N_ROUNDS)
    ]
    names = ("processor_ms", "resident_mb", "private_mb")
    least = map(min, zip(*rounds, strict=True))
    return {name: round(value, 1) for name, value in zip(names, least, strict=True)}


def main(module: str, *, without: tuple[str, ...] = ()) -> None:
    """Print the cost of importing a module beside that of a bare interpreter.

    Parameters
    ----------
    module
        Module whose import makes the program ready to run.
    without
        Modules that the program's entry point keeps from being imported.
    """
    figures = {"bare": measure_start(""), module: measure_start(module, without)}
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    run(main)
