"""Bring the engines to the target weights that operators set."""
