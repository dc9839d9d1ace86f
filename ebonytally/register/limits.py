"""The register's numbers, from what a process is told."""

from ebonytally import deployment as deployments
from ebonytally.register import register as registers

# Announcements may be late by a good part of their gap; two in a row are
# seldom lost.
SILENT_ANNOUNCEMENTS = 3.0


def limits(told: deployments.Deployment) -> registers.Limits:
    """Return the register's numbers for a deployment."""
    return registers.Limits(
        silent_s=SILENT_ANNOUNCEMENTS * told.announce_s,
        keep_s=told.flow_ttl_s,
    )
