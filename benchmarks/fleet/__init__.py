"""Measurements of how the instances act together; each module prints JSON."""
