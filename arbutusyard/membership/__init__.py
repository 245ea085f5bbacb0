"""Find the other nodes and notice those that fail or leave."""
