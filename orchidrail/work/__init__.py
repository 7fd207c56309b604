"""Jobs, their steps and tasks: specification, state and progress."""
