"""Stand-ins for callers, upstreams and the fabric."""
