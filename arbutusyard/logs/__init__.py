"""Write structured log lines without blocking, and explain requests from them."""
