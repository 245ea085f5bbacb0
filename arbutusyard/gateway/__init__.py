"""Serve callers' requests by relaying them to backend servers."""
