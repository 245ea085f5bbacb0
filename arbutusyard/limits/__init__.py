"""Limits of client accounts, fair sharing between accounts, and retry budgets."""
