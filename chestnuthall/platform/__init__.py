"""Adapters that translate the platform's protocols and formats to the product's.

Names defined by the platform occur only in this package and in ``deploy/``.
"""
