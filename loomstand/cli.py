"""The command line."""

from __future__ import annotations

import asyncio
import os
import signal

import click

from loomstand import __version__
from loomstand.config import Config, ConfigError, load, settings


@click.group()
def main() -> None:
    """loomstand holds customers to their quotas before a shared back end."""


def configured(path: str | None) -> Config:
    try:
        return load(os.environ, path)
    except ConfigError as why:
        raise click.ClickException(str(why)) from None


file_option = click.option("--config", "path", type=click.Path(dir_okay=False), help="default: $PROXY_CONFIG")


@main.command()
@file_option
def serve(path: str | None) -> None:
    """Run one limiter until SIGTERM; SIGHUP makes it read its configuration again."""
    from loomstand.net.driver import Turns
    from loomstand.net.limiter import Limiter

    config, turns = configured(path), Turns()

    def again(limiter: Limiter) -> None:
        try:
            limiter.reload(load(os.environ, path, again=True))
        except ConfigError as why:
            limiter.log(f"the configuration can't be used, the one held stands: {why}")

    async def run() -> None:
        limiter = Limiter(config, turns)
        for sig in (signal.SIGTERM, signal.SIGINT):
            limiter.loop.add_signal_handler(sig, limiter.stop)
        limiter.loop.add_signal_handler(signal.SIGHUP, again, limiter)
        await limiter.run()

    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(turns)) as runner:
        try:
            runner.run(run())
        except OSError as why:
            raise click.ClickException(
                f"cannot listen at {config.listen[0]}:{config.listen[1]}: {why}"
            ) from None


@main.command()
@file_option
def check(path: str | None) -> None:
    """Read the configuration and say what it holds, without serving."""
    config = configured(path)
    told, (host, port) = settings(config.conf, 0), config.listen
    click.echo(f"{config.name}: limiter {told.me} of {told.limiters}, listens at {host}:{port}")
    click.echo(f"frontends: {', '.join(g.name for g in config.conf.grades)}")
    click.echo(f"plans: {', '.join(p.name for p in config.conf.plans) or 'none'}")
    click.echo(f"servers known: {len(config.known.members)}, as of revision {config.known.revision}")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"loomstand {__version__}")
