"""Randomized soak tests with real processes; not part of the shipped package."""
