"""The users' platform: its protocols and formats, translated to the product's.

Nothing outside this package and ``deploy/`` knows a name of the platform.
"""
