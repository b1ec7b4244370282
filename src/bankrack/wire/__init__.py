"""What callers and engines send: requests, answers, events and keys."""
