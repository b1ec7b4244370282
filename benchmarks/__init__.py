"""Benchmarks; not part of the shipped package."""
