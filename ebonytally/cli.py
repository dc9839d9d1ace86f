"""Command line of the daemon and of its operators."""


def main() -> None:
    """Run the command line."""
