"""Keep prompt segments that crash backend servers away from them."""
