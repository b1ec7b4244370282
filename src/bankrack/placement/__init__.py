"""Placement of the runs of a pool on its engines, by the pool owner."""
