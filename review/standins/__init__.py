"""Stand-ins for the users' platform, used by the cases of this review."""
