"""Measure the decisions, the path and the slopes for the target size."""
