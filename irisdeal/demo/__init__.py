"""A day on one machine: stand-ins in this process, real doors as processes by the deployment's `run` line."""
