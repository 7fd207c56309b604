"""Scheduling decisions: admission, ordering, placement and preemption.

Nothing here does any I/O; clocks and randomness are arguments.
"""
