"""Tests of bankrack; the folder mirrors the package."""
