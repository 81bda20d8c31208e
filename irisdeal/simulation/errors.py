"""Errors of a simulation that cannot go on."""


class SimulationError(RuntimeError):
    """A simulation cannot go on."""


class SimulationStalledError(SimulationError):
    """Nothing is scheduled any more, or the time limit has passed, while tasks still wait.

    The text names them.
    """


class SimulationLivelockError(SimulationError):
    """The simulation goes on without virtual time advancing; the text names what keeps it busy."""
