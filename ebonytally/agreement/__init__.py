"""The replicated log: consensus, storage and forwarding of proposals."""
