"""Read HTTP/1.1 from any peer at a bounded cost."""
