"""Relays generations and plain requests between callers and upstreams."""
