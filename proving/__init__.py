"""Randomised runs of the real daemons' code under faults, in virtual time.

No simulator: the daemons, aggregates and encodings are the real ones; only
the network, the platform and the workers are small fakes at the ports.
"""
