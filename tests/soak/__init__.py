"""A randomized soak: real hosts as processes, and faults from outside them."""
