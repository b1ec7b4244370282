"""State that nodes read from the platform's store and exchange with each other."""
