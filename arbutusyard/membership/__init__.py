"""Membership protocol that discovers nodes and detects failed and draining ones."""
