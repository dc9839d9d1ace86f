"""Upstreams: announcements, health, warm-up, lent slots."""
