"""Leadership and suspicion: the view, the node's lease, its peers and handovers."""
