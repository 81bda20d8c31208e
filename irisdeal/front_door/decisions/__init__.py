"""The decisions of a gateway that keeps each customer of a shared back end to its plan."""

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import Settings

__all__ = ["Gateway", "Settings"]
__version__ = "0.2.0"
