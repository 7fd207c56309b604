"""Worker sessions: orders, reports and leases."""
