"""Benchmarks of the scheduling decisions, with baselines to compare."""
