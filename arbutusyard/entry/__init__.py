"""Face callers: admit, route, relay and answer."""
