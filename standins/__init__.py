"""Stand in for the outside systems: engines, services, the platform and links."""
