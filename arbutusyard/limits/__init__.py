"""Enforce fair shares, retry budgets and the limits of client accounts.

The limits of client accounts are divided between entries.
"""
