"""The command line."""

from __future__ import annotations

import asyncio
import os
import signal

import click

from loomstand import __version__
from loomstand.config.limiter import (
    LimiterConfig,
    LimiterConfigError,
    engine_settings,
    load_limiter_config,
)


@click.group()
def main() -> None:
    """Loomstand holds customers to their quotas before a shared back end."""


def configured(path: str | None) -> LimiterConfig:
    try:
        return load_limiter_config(os.environ, path)
    except LimiterConfigError as why:
        raise click.ClickException(str(why)) from None


file_option = click.option(
    "--config", "path", type=click.Path(dir_okay=False), help="default: $PROXY_CONFIG"
)


@main.command()
@file_option
def serve(path: str | None) -> None:
    """Run one limiter until SIGTERM; SIGHUP makes it read its configuration again."""
    from loomstand.limiter.event_loop import Turns
    from loomstand.limiter.limiter import Limiter

    config, turns = configured(path), Turns()

    def again(limiter: Limiter) -> None:
        try:
            limiter.reload(load_limiter_config(os.environ, path, reloading=True))
        except LimiterConfigError as why:
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
                f"cannot listen at {config.listen_address[0]}:{config.listen_address[1]}: {why}"
            ) from None


@main.command()
@file_option
def check(path: str | None) -> None:
    """Read the configuration and say what it holds, without serving."""
    config = configured(path)
    told, (host, port) = engine_settings(config.settings, 0), config.listen_address
    click.echo(
        f"{config.name}: limiter {told.limiter_index} of {told.limiter_count}, "
        f"listens at {host}:{port}"
    )
    click.echo(f"frontends: {', '.join(f.name for f in config.settings.frontends)}")
    click.echo(f"plans: {', '.join(p.name for p in config.settings.plans) or 'none'}")
    known = config.initial_backends
    click.echo(f"servers known: {len(known.backends)}, as of revision {known.revision}")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"loomstand {__version__}")


@main.group()
def lab() -> None:
    """Play the fleet in simulated time: the real module at sizes sockets don't reach
    (docs/lab.md).
    """


def scenario_table(path: str) -> dict:
    from loomstand.testing.emulator import scenario as sc

    try:
        return sc.read(path)
    except sc.ScenarioError as why:
        raise click.ClickException(str(why)) from None


@lab.command("run")
@click.argument("scenario_file", metavar="SCENARIO", type=click.Path(dir_okay=False))
@click.option("--seed", type=int, default=None, help="default: the scenario's")
@click.option(
    "--out", type=click.Path(file_okay=False), default=None, help="where report.json goes"
)
@click.option("--plot/--no-plot", default=False, help="draw the PNGs into --out as well")
def lab_run(scenario_file: str, seed: int | None, out: str | None, plot: bool) -> None:
    """Play SCENARIO with the module and its baselines; exit 1 if the module broke a rule."""
    from rich.console import Console
    from rich.progress import Progress

    from loomstand.testing.emulator import report, runner
    from loomstand.testing.emulator import scenario as sc

    scenario = sc.from_table(scenario_table(scenario_file))
    policies = runner.policies(scenario)
    with Progress(console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task("simulated seconds", total=scenario.seconds * len(policies))

        def progress(policy: str, second: float) -> None:
            done = policies.index(policy) * scenario.seconds + second
            bar.update(task, completed=done, description=f"playing {policy}")

        result = runner.run(scenario, seed, progress=progress)
    report.table(result, Console())
    if out:
        report.write(result, out)
        if plot:
            report.plot(out)
    if not result["held"]:
        raise SystemExit(1)


@lab.command("sweep")
@click.argument("scenario_file", metavar="SCENARIO", type=click.Path(dir_okay=False))
@click.option(
    "--set", "setting", required=True, help="KEY=V1,V2,... e.g. fleet.limiters=10,100,1000"
)
@click.option("--seed", type=int, default=None)
@click.option("--out", type=click.Path(file_okay=False), required=True)
@click.option(
    "--workers", type=click.IntRange(1, 64), default=os.cpu_count() or 1, show_default=True
)
def lab_sweep(scenario_file: str, setting: str, seed: int | None, out: str, workers: int) -> None:
    """Play SCENARIO once a value of KEY, in parallel; a report a point in OUT/point-N, plots at the
    end.
    """
    import json
    from pathlib import Path

    from rich.progress import Progress

    from loomstand.testing.emulator import report, runner
    from loomstand.testing.emulator import scenario as sc

    table = scenario_table(scenario_file)
    try:
        key, vals = runner.parse_sweep(setting)
        with Progress(transient=True) as bar:
            bar.add_task(f"sweep of {key}", total=None)
            results = runner.sweep(table, key, vals, seed, workers)
    except sc.ScenarioError as why:
        raise click.ClickException(str(why)) from None
    points = []
    for n, (value, result) in enumerate(zip(vals, results, strict=True)):
        result["swept"] = value
        report.write(result, Path(out) / f"point-{n}")
        points.append(f"point-{n}")
    (Path(out) / "sweep.json").write_text(
        json.dumps({"key": key, "values": vals, "points": points})
    )
    report.sweep_table(key, results)
    report.plot(out)


@lab.command("plot")
@click.argument("out", type=click.Path(file_okay=False, exists=True))
def lab_plot(out: str) -> None:
    """Draw the PNGs of the run or sweep in OUT."""
    from loomstand.testing.emulator import report

    for path in report.plot(out):
        click.echo(path)


@main.command()
@click.argument("scenario_file", metavar="SCENARIO", type=click.Path(dir_okay=False))
@click.option("--quick", is_flag=True, help="the scenario's short form")
@click.option("--seed", type=int, default=None, help="default: the scenario's")
@click.option("--set", "sets", multiple=True, help="KEY=VALUE, e.g. fleet.limiters=6")
@click.option("--no-plan", is_flag=True, help="without the scenario's site plan")
@click.option(
    "--out", type=click.Path(file_okay=False), default=None, help="where trails, logs and report go"
)
@click.option("--plot/--no-plot", default=False, help="draw the PNGs into --out as well")
def rehearse(
    scenario_file: str,
    quick: bool,
    seed: int | None,
    sets: tuple[str, ...],
    no_plan: bool,
    out: str | None,
    plot: bool,
) -> None:
    """Play SCENARIO on limiter processes among stand-ins (docs/rehearse.md); exit 0 only if all
    holds.
    """
    import tempfile
    from pathlib import Path

    from rich.console import Console
    from rich.progress import Progress

    from loomstand.testing.emulator.runner import parse_sweep
    from loomstand.testing.emulator.scenario import ScenarioError
    from loomstand.testing.rehearsal import report, scenario
    from loomstand.testing.rehearsal.stage import StageError, stage

    try:
        given = {key: vals[0] for key, vals in map(parse_sweep, sets)}
        told = scenario.load(scenario_file, quick, given)
        plan = b"" if no_plan else scenario.plan_of(told, scenario_file)
    except ScenarioError as why:
        raise click.ClickException(str(why)) from None
    seed = told.seed if seed is None else seed
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as scratch:
        place = Path(out or scratch)
        if (place / "trail").exists():
            raise click.ClickException(f"{place} holds another rehearsal already")
        with Progress(console=Console(stderr=True), transient=True) as bar:
            task = bar.add_task(f"rehearsing {told.name}", total=told.seconds)

            async def play() -> None:
                asyncio.get_running_loop().add_signal_handler(
                    signal.SIGTERM, asyncio.current_task().cancel
                )
                await stage(told, seed, place, plan, lambda s: bar.update(task, completed=s))

            try:
                asyncio.run(play())
            except StageError as why:
                raise click.ClickException(str(why)) from None
            except (KeyboardInterrupt, asyncio.CancelledError):
                raise click.ClickException(
                    "ended before its time; all processes are ended"
                ) from None
        result = report.make(told, seed, place)
        report.table(result, Console())
        if out and plot:
            report.plot(result, place)
    if not report.passed(result):
        raise SystemExit(1)


@main.group()
def plan() -> None:
    """The site plan: what the loss of a zone means, asked beforehand (docs/sites.md)."""


def site_plan(path: str):
    from loomstand.failover import zone_plan as plans

    try:
        return plans.load(path)
    except plans.PlanError as why:
        raise click.ClickException(str(why)) from None


@plan.command("check")
@click.argument("path", metavar="FILE", type=click.Path(dir_okay=False))
def plan_check(path: str) -> None:
    """Read the plan in FILE and name the faulty key if there is one."""
    told = site_plan(path)
    order = [r.name for r in told.refuse] + ["the rest"] + ([told.keep.name] if told.keep else [])
    click.echo(f"refused in this order: {', '.join(order)}")
    click.echo(f"zones: {', '.join(z.name for z in told.zones) or 'none'}")


@plan.command("show")
@click.argument("path", metavar="FILE", type=click.Path(dir_okay=False))
def plan_show(path: str) -> None:
    """Tell for the loss of each zone of the plan in FILE where its load goes and what is refused;
    exit 1 if the fleet does not bear one.
    """
    from loomstand.failover.zone_plan import forecast

    told, borne = site_plan(path), True
    if not told.zones or not told.demand:
        raise click.ClickException(
            f"{path}: key 'zones' and key 'demand' are needed to tell anything"
        )
    for lost in ["", *(z.name for z in told.zones)]:
        f = forecast(told, lost)
        click.echo(f"zone {lost} lost:" if lost else "no zone lost:")
        click.echo(
            f"  asked {f.demand_slots:.1f} slots, room for {f.usable_slots:.1f}; "
            f"use {f.utilization:.2f}; worth {f.admitted_value_share:.3f}"
        )
        if lost:
            click.echo(
                "  its load goes to "
                + ", ".join(f"{z} {n:.1f} slots" for z, n in f.moved_slots.items())
            )
        for r in f.ranks:
            if r.refused_share > 0:
                click.echo(
                    f"  refused: {r.refused_share:.0%} of {r.name} "
                    f"({r.demand_slots - r.admitted_slots:.1f} slots)"
                )
        if f.missing_servers_for_all:
            click.echo(f"  {f.missing_servers_for_all} more servers would bear all that is asked")
        if f.missing_servers:
            borne = False
            s = "" if f.missing_servers == 1 else "s"
            click.echo(f"  the fleet does not bear this: {f.missing_servers} more server{s} needed")
    if not borne:
        raise SystemExit(1)
