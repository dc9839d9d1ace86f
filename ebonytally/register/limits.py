"""Time limits of the registry, derived from the deployment."""

from ebonytally import deployment as deployments
from ebonytally.register import register as registers

# In announcement intervals. Announcements may be late by a large part of
# their interval; two successive ones are rarely lost.
SILENT_INTERVALS = 3.0


def limits(deployment: deployments.Deployment) -> registers.Limits:
    """Return the registry's time limits for a deployment."""
    return registers.Limits(
        silent_s=SILENT_INTERVALS * deployment.announce_interval_s,
        keep_s=deployment.flow_ttl_s,
    )
