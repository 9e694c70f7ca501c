"""One controller: the owner of its state, its servers, and its place among its peers."""
