"""Jobs, their steps and tasks: what is asked for and how far it has come."""
