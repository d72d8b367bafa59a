"""Measurements in virtual time, at the sizes of the two deployments."""
