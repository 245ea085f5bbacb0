"""Limits of client accounts, divided between entries; fair shares; retry budgets."""
