"""Enforce the quotas of client accounts over all nodes together."""
