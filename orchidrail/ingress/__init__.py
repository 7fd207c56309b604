"""Job requests of callers: authentication and forwarding to the shard owner."""
