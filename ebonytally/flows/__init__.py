"""Flows by slot tables and their keepers."""
