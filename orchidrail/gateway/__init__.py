"""Gateway daemon, which serves callers over HTTP."""
