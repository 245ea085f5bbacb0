"""Typed, authenticated messages between the system's processes."""
