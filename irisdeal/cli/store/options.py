"""Options and arguments of `irisdeal store`, the usage error, and the reading of settings and folders.

Modules of the store are imported inside functions, so that the command line starts quickly.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from irisdeal.config_store.storage.inspection import FolderContent
    from irisdeal.runtime.settings import Address, Settings


class UsageError(click.ClickException):
    """The command cannot run as given: one line on standard error, exit code 2."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        """Print the line."""
        click.echo(f"irisdeal: {self.message}", err=True)


class AddressType(click.ParamType[Any]):
    """An argument `ip:port`."""

    name = "ip:port"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        """Return the address. Fails with the expected form."""
        from irisdeal.runtime.settings import parse_address

        if isinstance(value, tuple):
            return value  # already converted
        try:
            return parse_address(str(value))
        except ValueError as error:
            self.fail(str(error), param, ctx)


SETTINGS = click.option(
    "--settings",
    "settings_file",
    type=click.Path(dir_okay=False),
    envvar="IRISDEAL_SETTINGS",
    show_envvar=True,
    metavar="FILE",
    help="Settings of a core machine.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
STORES = click.argument("stores", type=AddressType(), nargs=-1)
FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False))


def read_settings(settings_file: str | None) -> Settings:
    """Read the settings that `--settings` names. Raises `UsageError` if it is missing or invalid."""
    if settings_file is None:
        raise UsageError("--settings: wanted, as no store was named")
    from returns.result import Failure

    from irisdeal.runtime.settings import load_settings

    result = load_settings(settings_file)
    if isinstance(result, Failure):
        raise UsageError(str(result.failure()))
    return result.unwrap()


def read_folder(folder: str) -> FolderContent:
    """Read a replica's folder without changing it. Raises `UsageError` if it cannot be read."""
    from irisdeal.config_store.storage.folder import DiskFolder
    from irisdeal.config_store.storage.inspection import inspect_folder

    try:
        return inspect_folder(DiskFolder(folder))
    except OSError as error:
        raise UsageError(f"{folder}: {error.strerror or error}") from None
