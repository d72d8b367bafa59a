"""Print the processor time per shard call: ``python -m benchmarks.processor_time``."""

import json

from cyclopts import run

from benchmarks._processor_time import measure_processor_time


def main(*, n_queries: int = 800) -> None:
    """Measure the processor time and print it as a JSON object."""
    figures = measure_processor_time(n_queries)
    print(
        json.dumps({key: round(value, 3) for key, value in figures.items()}, indent=2)
    )


if __name__ == "__main__":
    run(main)
