"""Serve client requests: admit, route, relay and answer them."""
