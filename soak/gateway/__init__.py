"""A soak of gateways in the platform's dialect: real processes, faults from outside."""
