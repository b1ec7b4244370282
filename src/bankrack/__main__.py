"""Entry point of ``python -m bankrack``."""

from bankrack.cli import main

main()
