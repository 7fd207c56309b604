"""One shard's owner: decisions over its workers and jobs."""
