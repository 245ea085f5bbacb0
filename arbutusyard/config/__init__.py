"""Generated configuration of the workloads and its revisions."""
