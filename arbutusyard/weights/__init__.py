"""Bring the engines to the version of weights that operators name."""
