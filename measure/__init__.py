"""Measure routing, overload, a request's path and capacity at the target size."""
