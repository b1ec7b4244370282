"""Scheduling of runs: length estimates, memory forecasts, policies, group owners."""
