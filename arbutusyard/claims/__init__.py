"""Execute non-idempotent requests at most once."""
