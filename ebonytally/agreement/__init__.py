"""The replicated log: agreement, its storage, and ways to it."""
