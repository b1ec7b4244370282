"""The way of a request, whoever speaks to it: match, choose, send, recover."""
