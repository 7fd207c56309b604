"""Tests of membership and heartbeats."""
