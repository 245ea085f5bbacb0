"""Keep a node's view of the system and hand it to the entries on its VM."""
