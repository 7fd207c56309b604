"""A randomised soak of the real programs under faults from outside.

``python -m soak --seed 1`` starts the instances as separate processes, and in
this process stand-ins for the platform's store, its workers and its callers.
Proxies on loopback and signals do the harm; judges check the promises from
what callers and workers see.
"""
