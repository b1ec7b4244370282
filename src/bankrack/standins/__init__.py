"""Small substitutes for the external systems, for the demo, tests and the soak."""
