"""The command line's client of the operators' interface."""
