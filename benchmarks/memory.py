"""Print the memory per item of state: ``python -m benchmarks.memory``."""

import json

from benchmarks._memory import measure_memory


def main() -> None:
    """Measure the memory and print it as a JSON object."""
    figures = measure_memory()
    print(json.dumps({key: round(value) for key, value in figures.items()}, indent=2))


if __name__ == "__main__":
    main()
