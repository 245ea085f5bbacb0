"""Keep what a node believes of the configuration, backend servers and other nodes."""
