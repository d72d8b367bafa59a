"""A randomized soak: real processes of an instance under faults from outside."""
