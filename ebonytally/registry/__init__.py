"""Registry of upstreams, replicated by gossip between control VMs."""
