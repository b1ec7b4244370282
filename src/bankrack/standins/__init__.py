"""Small stand-ins of the outside systems, for demo, tests and soak."""
