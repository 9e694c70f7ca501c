"""Clients of outside services: pacing, tolerant requests, what the budgets go into."""
