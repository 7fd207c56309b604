"""Tests of the process of one instance."""
