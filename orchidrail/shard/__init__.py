"""Shard ownership: schedules the jobs of one shard on its workers."""
