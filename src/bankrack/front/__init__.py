"""HTTP servers for callers and operators, with authentication and limits."""
