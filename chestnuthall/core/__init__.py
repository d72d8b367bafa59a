"""Decisions only: no input or output, clock, codec or logging.

Time is always passed in as ``now_ms``.
"""
