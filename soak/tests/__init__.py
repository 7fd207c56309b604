"""Tests of the soak test, and a short run of it."""
