"""Tests of advice requests."""
