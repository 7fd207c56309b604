"""Stand-ins that the cases 4 to 8 share."""
