"""Pure decisions under load: they take what is known and give a typed answer.

No module here reads a clock, waits, sends or logs; their callers do.
"""
