"""Stand-ins of the second review: store, servers, callers and a small deployment."""
