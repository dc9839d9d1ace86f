"""Explicit-state models of the core protocols, checked exhaustively."""
