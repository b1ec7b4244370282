"""Serving of requests: routing, selection of upstreams, sending and recovery."""
