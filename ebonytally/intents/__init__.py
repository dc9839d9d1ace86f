"""Operators' intents, plans and their HTTP interface."""
