"""Tests of job request forwarding."""
