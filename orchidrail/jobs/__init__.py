"""Accepted jobs: their log records, and the attempts of their tasks."""
