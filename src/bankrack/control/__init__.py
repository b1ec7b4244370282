"""State that nodes share: intents, configuration, claims, leases, membership."""
