"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides. Each wire name is decoded once into a record whose
fields say what they hold; the rest of the package knows only those.
"""
