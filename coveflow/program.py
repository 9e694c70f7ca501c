"""The daemon's command line; it does not import the tools, which would delay the start."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from coveflow import __version__, logs
from coveflow import settings as s


def parser() -> argparse.ArgumentParser:
    p = argparse.ArgumentParser(
        prog="coveflow", description="A cluster scheduler that plans with predicted runtimes."
    )
    p.add_argument("--version", action="version", version=f"coveflow {__version__}")
    p.add_argument("--config", metavar="FILE", type=Path, help="run with this settings file")
    p.add_argument(
        "--tuning",
        metavar="FILE",
        type=Path,
        help="operator's S-expressions (default: coveflow.scm beside the program, if it is there)",
    )
    p.add_argument(
        "--tls",
        action="store_true",
        help="load TLS, which a listener with a certificate needs and nothing else does",
    )
    sub = p.add_subparsers(dest="command")
    check = sub.add_parser("check", help="check settings files (.toml) and tuning files")
    check.add_argument("files", metavar="FILE", nargs="+", type=Path)
    return p


def check(path: Path) -> None:
    """Validate a settings or tuning file. Raises SettingsError."""
    if path.suffix == ".toml":
        s.load(path)
    else:
        s.load_tuning(path)


def serve(config: Path, tuning_file: Path | None = None) -> int:
    """Run a controller until it is killed. Returns the exit status, 130 after Ctrl-C."""
    settings = s.load(config)
    default = Path(sys.argv[0]).resolve().parent / "coveflow.scm"
    tuning = s.Tuning()
    if tuning_file is not None or default.exists():
        tuning = s.load_tuning(tuning_file or default)
    logs.configure()
    from coveflow.daemon.node import Node

    async def run() -> None:
        node = Node(settings, tuning)
        if tuning.tes is not None:
            from coveflow.tes import start

            try:
                start.attach(node, tuning.tes, (tuning_file or default).parent)
            except s.SettingsError:
                await node.session.close()
                raise
        await node.run()

    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        return 130
    return 0


def main(argv: list[str] | None = None) -> int:
    p = parser()
    args = p.parse_args(argv)
    try:
        if args.command == "check":
            for path in args.files:
                check(path)
                print(f"{path}: good")
            return 0
        if args.config is None:
            p.error("--config FILE or a command is needed")
        return serve(args.config, args.tuning)
    except s.SettingsError as error:
        print(f"coveflow: {error}", file=sys.stderr)
        return 2
