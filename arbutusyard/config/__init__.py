"""Keep the generated configuration and its revisions."""
