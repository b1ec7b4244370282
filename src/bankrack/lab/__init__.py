"""Simulations in virtual time: workloads, runs, tables and plots."""
