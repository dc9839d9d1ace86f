"""Upstreams: announcements, health, warm-up and grants of request slots."""
