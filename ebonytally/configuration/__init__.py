"""Whole configurations: the highest version is in force."""
