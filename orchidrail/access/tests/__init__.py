"""Tests of the modules beside this folder."""
