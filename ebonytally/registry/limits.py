"""Time limits of the registry, derived from the deployment."""

from ebonytally import deployment as deployments
from ebonytally.registry import registry as registries

# In announcement intervals. Announcements may be late by a large part of
# their interval; two successive ones are rarely lost.
SILENT_INTERVALS = 3.0


def limits(deployment: deployments.Deployment) -> registries.Limits:
    """Return the registry's time limits for a deployment."""
    return registries.Limits(
        silent_s=SILENT_INTERVALS * deployment.announce_interval_s,
        keep_s=deployment.flow_ttl_s,
    )
