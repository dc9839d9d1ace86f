"""Stand-ins for callers, upstreams and the network fabric."""
