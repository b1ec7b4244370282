"""What nodes learn from the platform's store and from each other."""
