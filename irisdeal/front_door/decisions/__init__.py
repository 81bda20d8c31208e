"""Decisions of a gateway that limits each account of a shared backend to its plan. No I/O, no own clock."""

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import Settings

__all__ = ["Gateway", "Settings"]
__version__ = "0.2.0"
