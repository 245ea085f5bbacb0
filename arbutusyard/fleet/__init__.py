"""Track the configuration, backend servers and other nodes, as far as a node knows."""
