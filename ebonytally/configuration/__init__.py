"""Configurations, replaced as a whole; the highest version is in force."""
