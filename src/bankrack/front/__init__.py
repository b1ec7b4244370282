"""What callers and operators speak to: listeners, codecs, authentication, limits."""
