"""The command line."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import sys
from pathlib import Path

from coveflow import __version__

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


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
    sub = p.add_subparsers(dest="command")
    check = sub.add_parser("check", help="check settings files (.toml) and tuning files")
    check.add_argument("files", metavar="FILE", nargs="+", type=Path)
    return p


def main(argv: list[str] | None = None) -> int:
    p = parser()
    args = p.parse_args(argv)
    from coveflow import settings as s

    try:
        if args.command == "check":
            for path in args.files:
                if path.suffix == ".toml":
                    s.load(path)
                else:
                    s.load_tuning(path)
                print(f"{path}: good")
            return 0
        if args.config is None:
            p.error("--config FILE or a command is needed")
        settings = s.load(args.config)
        default = Path(sys.argv[0]).resolve().parent / "coveflow.scm"
        tuning = s.Tuning()
        if args.tuning is not None or default.exists():
            tuning = s.load_tuning(args.tuning or default)
    except s.SettingsError as error:
        print(f"coveflow: {error}", file=sys.stderr)
        return 2
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO),
        format="%(asctime)s %(levelname)s %(name)s %(message)s",
    )
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    from coveflow.daemon.node import Node

    async def serve() -> None:
        await Node(settings, tuning).run()

    try:
        asyncio.run(serve())
    except KeyboardInterrupt:
        return 130
    return 0
