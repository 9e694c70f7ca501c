"""Entry point of the `coveflow` command; imports a sub-command's module when it is called."""

from __future__ import annotations

import importlib
import sys

try:
    import click
except ModuleNotFoundError:
    sys.exit(
        "coveflow: command-line tools are not installed; python -m pip install 'coveflow[tools]'"
    )

from coveflow import __version__, forms, logs
from coveflow import settings as s
from coveflow.cli.errors import UserError

# Sub-command: (module:attribute, help). The help is kept here so that --help imports no command.
COMMANDS = {
    "run": ("coveflow.cli.daemon:run", "Run a controller."),
    "check": ("coveflow.cli.daemon:check", "Check settings, tuning, lab and change files."),
    "submit": ("coveflow.cli.jobs:submit", "Submit a job."),
    "status": ("coveflow.cli.jobs:status", "Show a job's state."),
    "cancel": ("coveflow.cli.jobs:cancel", "Cancel a job."),
    "held": ("coveflow.cli.jobs:held", "Tasks that wait for an operator's decision."),
    "machine": ("coveflow.cli.jobs:machine", "Drain a machine, or let it take work again."),
    "tes": ("coveflow.cli.tes:tes", "Tasks by the GA4GH task execution API; tokens."),
    "whatif": ("coveflow.cli.whatif:whatif", "Replay a recorded trace, with or without changes."),
    "trace": ("coveflow.cli.trace:trace", "Record, show, verify and merge events."),
    "lab": ("coveflow.cli.lab:lab", "Stand-in clusters on this machine."),
}


class LazyGroup(click.Group):
    """A group that lists its commands by name and imports a command only when it is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        module, _, attribute = COMMANDS[name][0].partition(":")
        return getattr(importlib.import_module(module), attribute)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, text) for name, (_, text) in COMMANDS.items()])


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="coveflow")
def cli() -> None:
    """A cluster scheduler that plans with predicted runtimes, and the tools around it.

    LOG_LEVEL (error, info, debug) and LOG_FORMAT (text, json) configure the log on standard error.
    """
    logs.configure()


def main() -> None:
    """Run the command line; a user error prints one line and exits with status 2, no traceback."""
    try:
        cli(standalone_mode=False)
    except click.exceptions.Exit as stop:
        sys.exit(stop.exit_code)
    except click.Abort:
        sys.exit(130)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except (s.SettingsError, forms.FormError, UserError) as error:
        click.echo(f"coveflow: {error}", err=True)
        sys.exit(2)
    except KeyboardInterrupt:
        sys.exit(130)
