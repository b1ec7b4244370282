"""Decisions: lengths, forecasts, policies, placement and group owners."""
