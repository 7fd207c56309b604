"""Membership and heartbeats among the instances, and who owns the shard."""
