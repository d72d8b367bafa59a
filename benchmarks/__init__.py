"""Benchmarks of the query tier, most of them in virtual time.

The deployments that they model are in ``_deployments``.
"""
