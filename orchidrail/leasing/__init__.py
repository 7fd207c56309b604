"""Worker leases: who may act on a worker, and what it has allocated."""
