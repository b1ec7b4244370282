"""Long randomised runs of real processes; not part of the shipped package."""
