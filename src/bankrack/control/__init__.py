"""What nodes share: intents, configuration, claims, leases, peers."""
