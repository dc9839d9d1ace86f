"""Stateless forwarding by cookies that callers echo in their packets."""
