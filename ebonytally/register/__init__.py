"""The register of upstreams: what they announced, newest first."""
