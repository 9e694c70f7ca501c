"""Who leads and who is in doubt: the view, this node's hold, its peers, what is handed over."""
