"""Pure decision functions and state for overload, crashes and cold starts.

Modules here do not read clocks, wait, send or log; callers pass in the time, random
draws and state.
"""
