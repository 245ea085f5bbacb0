"""Discover nodes and detect failed and draining ones by a membership protocol."""
