"""Operators' intents, the plans made for them, and the HTTP API."""
