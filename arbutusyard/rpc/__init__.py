"""Exchange typed, authenticated messages between the system's processes."""
