"""The process that runs on each instance."""
