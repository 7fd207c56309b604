"""Tests of the scheduling decisions."""
