"""The decisions of a gateway that keeps each customer of a shared back end to its plan."""

from cresspulley.control import Gateway
from cresspulley.interface import Settings

__all__ = ["Gateway", "Settings"]
__version__ = "0.2.0"
