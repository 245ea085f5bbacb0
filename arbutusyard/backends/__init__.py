"""Reach model engines and plain services."""
