"""Communicate with backend servers: model engines and plain services."""
