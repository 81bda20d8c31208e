"""`irisdeal store`: replicas of the configuration store, their folders, and the adoption of a member list."""

from __future__ import annotations

import click

from irisdeal.cli.store.adopt import adopt
from irisdeal.cli.store.folder import export, history, verify
from irisdeal.cli.store.status import members, status


@click.group()
def store() -> None:
    """Inspect and repair the replicated store of the operator's configuration.

    status and members query running replicas; history, verify and export read a replica's folder without
    change; adopt starts a new list of members after a permanent loss of the quorum.

    Example: irisdeal store status --settings /etc/irisdeal/settings.toml
    """


for command in (status, members, history, verify, export, adopt):
    store.add_command(command)


@click.group(name="almanac", commands=store.commands, hidden=True, deprecated=True)
def deprecated_store() -> None:
    """Run `irisdeal store` by its former name, with a warning on standard error."""
