"""Decisions under load: what to open, refuse and send elsewhere."""
