"""The process that runs on each machine of the system."""
