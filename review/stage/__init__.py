"""Stand-ins for the cases 6 to 10: a store, workers, clients and node processes."""
