"""Turn an operator's answers into configuration."""
