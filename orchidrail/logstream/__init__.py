"""Readers and batched writers of the platform's log streams."""
