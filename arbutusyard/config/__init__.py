"""Manage the generated configuration of the workloads and its revisions."""
