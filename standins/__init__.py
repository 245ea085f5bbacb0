"""Simulate the outside systems: engines, plain services, the platform and links."""
