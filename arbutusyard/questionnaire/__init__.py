"""Check an operator's questionnaire and generate configuration from it."""
