"""Control daemon: keeps a node's view of the system and sends it to local entries."""
