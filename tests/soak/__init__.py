"""A randomized soak test: hosts as processes, with faults injected from outside."""
