"""Measure what the system does, with bounded label sets."""
