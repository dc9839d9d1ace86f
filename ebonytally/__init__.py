"""Layer-4 load balancer for small organisations."""

from ebonytally.errors import EbonytallyError
from ebonytally.settings import load
from ebonytally.settings import Settings

__version__ = "0.1.0"

__all__ = ["EbonytallyError", "Settings", "__version__", "load"]
