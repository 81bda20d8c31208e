"""Errors of a simulation that cannot continue."""


class SimulationError(RuntimeError):
    """A simulation cannot continue."""


class SimulationStalledError(SimulationError):
    """Tasks still wait, but no event is scheduled or the time limit has passed.

    The message lists the waiting tasks.
    """


class SimulationLivelockError(SimulationError):
    """Events are executed without virtual time advancing; the message lists the most recent ones."""
