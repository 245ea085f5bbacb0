"""Implement the command line and assemble the daemons."""
