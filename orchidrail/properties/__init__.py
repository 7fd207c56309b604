"""Property tests that span several modules."""
