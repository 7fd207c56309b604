"""The workers: what they report, what they are told, and their leases."""
