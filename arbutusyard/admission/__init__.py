"""Admit requests by the free capacity of servers while a service is overloaded."""
