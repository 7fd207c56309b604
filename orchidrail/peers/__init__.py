"""The other processes of the system: who is there and who owns the shard."""
