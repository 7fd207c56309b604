"""Callers' requests about jobs, from any machine to the shard's owner."""
