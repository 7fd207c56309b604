"""Adapter to the users' platform: its names, formats and calls.

It makes no decisions. Each wire format is decoded once into records with
descriptive field names; the rest of the package uses only those records.
"""
