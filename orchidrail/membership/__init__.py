"""Gossip-based view of the live schedulers; advisory, grants no authority."""
