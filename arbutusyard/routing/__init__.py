"""Choose a backend server for a prompt."""
