"""Bankrack serves generations of unknown length from crowded model engines."""

from bankrack.control.intent import Intent as Intent
from bankrack.exceptions import BankrackError as BankrackError
from bankrack.exceptions import Outcome as Outcome
from bankrack.node import Node as Node
from bankrack.settings import Settings as Settings

__version__ = "0.1.0"
