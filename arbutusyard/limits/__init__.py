"""Hold client accounts to their limits and share them between entries."""
