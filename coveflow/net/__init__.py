"""Clients of external services: rate limits, retries, timeouts and meters."""
