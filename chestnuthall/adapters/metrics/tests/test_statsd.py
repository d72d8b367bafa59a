"""Tests the aggregation of metrics that are sent to statsd.

Guards against a number of datagrams that grows with the rate of requests or errors,
and against wrong sums.
"""

import asyncio
import socket

from chestnuthall.adapters.metrics import StatsdMetrics
from chestnuthall.adapters.metrics._statsd import N_NAMES_MAX, N_TIMINGS_MAX


def receive_all(server):
    lines = []
    n_datagrams = 0
    while True:
        try:
            lines += server.recv(65_536).decode().split("\n")
        except TimeoutError:
            return lines, n_datagrams
        n_datagrams += 1


def test_counts_are_aggregated_and_timings_sampled():
    async def scenario(port):
        metrics = StatsdMetrics("127.0.0.1", port, "t")
        for n in range(5000):
            metrics.count("errors")
            metrics.timing("request_ms", float(n))
            metrics.gauge(f"g{n}", 1.0)
        metrics.send()

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(0.2)
        asyncio.run(scenario(server.getsockname()[1]))
        lines, n_datagrams = receive_all(server)
    assert "t.errors:5000|c" in lines
    assert f"t.metrics.dropped:{5000 - N_NAMES_MAX}|c" in lines
    assert sum(line.startswith("t.request_ms:") for line in lines) == N_TIMINGS_MAX
    assert n_datagrams < 40
