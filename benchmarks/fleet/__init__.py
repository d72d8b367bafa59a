"""Benchmarks of the coordination between instances; each module prints JSON."""
