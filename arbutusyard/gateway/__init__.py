"""Relay clients' requests to backend servers."""
