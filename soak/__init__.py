"""Randomized soak test of the real programs under injected faults.

``python -m soak --seed 1`` starts the instances as separate processes. This
process runs stand-ins for the platform's store, its workers and its callers.
Faults are injected by loopback proxies and by signals. The guarantees are
checked against what callers and workers observe.
"""
