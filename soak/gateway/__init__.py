"""Soak test of gateways in the platform's dialect: real processes, injected faults."""
