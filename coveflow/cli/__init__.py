"""The command line for operators and users; each sub-command loads only what it needs."""
