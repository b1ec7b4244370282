"""Wire formats of callers and engines: requests, responses, events and keys."""
