"""Failure detector and dissemination of the configuration."""
