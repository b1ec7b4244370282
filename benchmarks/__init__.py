"""Measurements with real processes; not part of the shipped package."""
