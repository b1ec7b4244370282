"""Client of the operator API, and the commands of the command line that use it."""
