"""State that outlives a process: the leader's records and the client of the state service."""
