"""Write structured log lines without ever blocking on them."""
