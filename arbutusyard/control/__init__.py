"""Keep a node's view of the system and send it to local entries (control daemon)."""
