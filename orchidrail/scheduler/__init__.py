"""The scheduler daemon: leases workers, places work and runs jobs."""
