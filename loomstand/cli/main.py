"""The commands of `python -m loomstand`."""

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
    """Loomstand limits customers to their request quotas in front of shared servers."""


def load_config(path: str | None) -> LimiterConfig:
    """Loads the limiter's configuration; an invalid one ends the command with a one-line error."""
    try:
        return load_limiter_config(os.environ, path)
    except LimiterConfigError as error:
        raise click.ClickException(str(error)) from None


file_option = click.option(
    "--config", "path", type=click.Path(dir_okay=False), help="default: $PROXY_CONFIG"
)


@main.command()
@file_option
def serve(path: str | None) -> None:
    """Run one limiter until SIGTERM or SIGINT; SIGHUP reloads its configuration."""
    from loomstand.limiter.event_loop import ArrivalClockSelector
    from loomstand.limiter.limiter import Limiter

    config, arrival_clock = load_config(path), ArrivalClockSelector()

    def reload(limiter: Limiter) -> None:
        try:
            limiter.reload(load_limiter_config(os.environ, path, reloading=True))
        except LimiterConfigError as error:
            limiter.log(f"the configuration can't be used, the one held stands: {error}")

    async def run() -> None:
        limiter = Limiter(config, arrival_clock)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            limiter.loop.add_signal_handler(signal_number, limiter.stop)
        limiter.loop.add_signal_handler(signal.SIGHUP, reload, limiter)
        await limiter.run()

    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(arrival_clock)) as runner:
        try:
            runner.run(run())
        except OSError as error:
            raise click.ClickException(
                f"cannot listen at {config.listen_address[0]}:{config.listen_address[1]}: {error}"
            ) from None


@main.command()
@file_option
def check(path: str | None) -> None:
    """Read the configuration and print a summary, without serving."""
    config = load_config(path)
    settings, (host, port) = engine_settings(config.settings, 0), config.listen_address
    click.echo(
        f"{config.name}: limiter {settings.limiter_index} of {settings.limiter_count}, "
        f"listens at {host}:{port}"
    )
    click.echo(f"frontends: {', '.join(frontend.name for frontend in config.settings.frontends)}")
    click.echo(f"plans: {', '.join(plan.name for plan in config.settings.plans) or 'none'}")
    initial = config.initial_backends
    click.echo(f"initial servers: {len(initial.backends)}, as of revision {initial.revision}")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"loomstand {__version__}")


@main.group()
def lab() -> None:
    """Emulate a fleet in simulated time: the real decision module in fleets larger than processes
    and sockets allow (docs/lab.md).
    """


def read_scenario_table(path: str) -> dict:
    """Returns the TOML table of a scenario; an invalid one ends the command with an error."""
    from loomstand.testing.emulator import scenario as scenarios

    try:
        return scenarios.read(path)
    except scenarios.ScenarioError as error:
        raise click.ClickException(str(error)) from None


@lab.command("run")
@click.argument("scenario_file", metavar="SCENARIO", type=click.Path(dir_okay=False))
@click.option("--seed", type=int, default=None, help="default: the scenario's")
@click.option(
    "--out", type=click.Path(file_okay=False), default=None, help="directory for report.json"
)
@click.option("--plot/--no-plot", default=False, help="also draw the PNGs into --out")
def lab_run(scenario_file: str, seed: int | None, out: str | None, plot: bool) -> None:
    """Emulate SCENARIO with the module and its baselines; exit 1 if the module broke a rule."""
    from rich.console import Console
    from rich.progress import Progress

    from loomstand.testing.emulator import report, runner
    from loomstand.testing.emulator import scenario as scenarios

    scenario = scenarios.from_table(read_scenario_table(scenario_file))
    policies = runner.policies(scenario)
    with Progress(console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task("simulated seconds", total=scenario.seconds * len(policies))

        def progress(policy: str, second: float) -> None:
            completed = policies.index(policy) * scenario.seconds + second
            bar.update(task, completed=completed, description=f"emulating {policy}")

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
    """Emulate SCENARIO once for each value of KEY, in parallel. Each run's report goes to
    OUT/point-N, and plots are drawn at the end.
    """
    import json
    from pathlib import Path

    from rich.progress import Progress

    from loomstand.testing.emulator import report, runner
    from loomstand.testing.emulator import scenario as scenarios

    table = read_scenario_table(scenario_file)
    try:
        key, values = runner.parse_sweep(setting)
        with Progress(transient=True) as bar:
            bar.add_task(f"sweep of {key}", total=None)
            results = runner.sweep(table, key, values, seed, workers)
    except scenarios.ScenarioError as error:
        raise click.ClickException(str(error)) from None
    points = []
    for number, (value, result) in enumerate(zip(values, results, strict=True)):
        result["swept"] = value
        report.write(result, Path(out) / f"point-{number}")
        points.append(f"point-{number}")
    (Path(out) / "sweep.json").write_text(
        json.dumps({"key": key, "values": values, "points": points})
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
@click.option("--quick", is_flag=True, help="run the scenario's short form")
@click.option("--seed", type=int, default=None, help="default: the scenario's")
@click.option("--set", "settings", multiple=True, help="KEY=VALUE, e.g. fleet.limiters=6")
@click.option("--no-plan", is_flag=True, help="without the scenario's site plan")
@click.option(
    "--out",
    type=click.Path(file_okay=False),
    default=None,
    help="directory for event trails, logs and the report",
)
@click.option("--plot/--no-plot", default=False, help="also draw the PNGs into --out")
def rehearse(
    scenario_file: str,
    quick: bool,
    seed: int | None,
    settings: tuple[str, ...],
    no_plan: bool,
    out: str | None,
    plot: bool,
) -> None:
    """Run SCENARIO on real limiter processes with stand-ins for the rest of the system
    (docs/rehearse.md); exit 0 only if all checks pass.
    """
    import tempfile
    from pathlib import Path

    from rich.console import Console
    from rich.progress import Progress

    from loomstand.testing.emulator.runner import parse_sweep
    from loomstand.testing.emulator.scenario import ScenarioError
    from loomstand.testing.rehearsal import report, scenario
    from loomstand.testing.rehearsal.runner import RehearsalError, run_rehearsal

    try:
        overrides = {key: values[0] for key, values in map(parse_sweep, settings)}
        rehearsal = scenario.load(scenario_file, quick, overrides)
        plan = b"" if no_plan else scenario.read_site_plan(rehearsal, scenario_file)
    except ScenarioError as error:
        raise click.ClickException(str(error)) from None
    seed = rehearsal.seed if seed is None else seed
    with tempfile.TemporaryDirectory(prefix="rehearsal-") as scratch:
        directory = Path(out or scratch)
        if (directory / "trail").exists():
            raise click.ClickException(f"{directory} already contains another rehearsal")
        with Progress(console=Console(stderr=True), transient=True) as bar:
            task = bar.add_task(f"rehearsing {rehearsal.name}", total=rehearsal.seconds)

            async def run() -> None:
                asyncio.get_running_loop().add_signal_handler(
                    signal.SIGTERM, asyncio.current_task().cancel
                )
                await run_rehearsal(
                    rehearsal,
                    seed,
                    directory,
                    plan,
                    lambda seconds: bar.update(task, completed=seconds),
                )

            try:
                asyncio.run(run())
            except RehearsalError as error:
                raise click.ClickException(str(error)) from None
            except (KeyboardInterrupt, asyncio.CancelledError):
                raise click.ClickException(
                    "interrupted; all processes of the rehearsal have ended"
                ) from None
        result = report.make(rehearsal, seed, directory)
        report.table(result, Console())
        if out and plot:
            report.plot(result, directory)
    if not report.passed(result):
        raise SystemExit(1)


@main.group()
def plan() -> None:
    """Check a site plan and forecast the effects of the loss of a zone (docs/sites.md)."""


def load_site_plan(path: str):
    """Loads the plan of a site; an invalid one ends the command with an error."""
    from loomstand.failover import zone_plan as plans

    try:
        return plans.load(path)
    except plans.PlanError as error:
        raise click.ClickException(str(error)) from None


@plan.command("check")
@click.argument("path", metavar="FILE", type=click.Path(dir_okay=False))
def plan_check(path: str) -> None:
    """Read the plan in FILE and print the invalid key if there is one."""
    zone_plan = load_site_plan(path)
    order = (
        [rule.name for rule in zone_plan.refuse]
        + ["the rest"]
        + ([zone_plan.keep.name] if zone_plan.keep else [])
    )
    click.echo(f"refused in this order: {', '.join(order)}")
    click.echo(f"zones: {', '.join(zone.name for zone in zone_plan.zones) or 'none'}")


@plan.command("show")
@click.argument("path", metavar="FILE", type=click.Path(dir_okay=False))
def plan_show(path: str) -> None:
    """Forecast for the loss of each zone in FILE where its load moves and what is refused; exit 1
    if the fleet is too small for one of the losses.
    """
    from loomstand.failover.zone_plan import forecast

    zone_plan = load_site_plan(path)
    is_sufficient = True
    if not zone_plan.zones or not zone_plan.demand:
        raise click.ClickException(f"{path}: a forecast needs key 'zones' and key 'demand'")
    for lost_zone in ["", *(zone.name for zone in zone_plan.zones)]:
        result = forecast(zone_plan, lost_zone)
        click.echo(f"zone {lost_zone} lost:" if lost_zone else "no zone lost:")
        click.echo(
            f"  demand {result.demand_slots:.1f} slots, usable {result.usable_slots:.1f}; "
            f"utilization {result.utilization:.2f}; "
            f"admitted value {result.admitted_value_share:.3f}"
        )
        if lost_zone:
            click.echo(
                "  its load moves to "
                + ", ".join(
                    f"{zone} {slots:.1f} slots" for zone, slots in result.moved_slots.items()
                )
            )
        for rank in result.ranks:
            if rank.refused_share > 0:
                click.echo(
                    f"  refused: {rank.refused_share:.0%} of {rank.name} "
                    f"({rank.demand_slots - rank.admitted_slots:.1f} slots)"
                )
        if result.missing_servers_for_all:
            click.echo(
                f"  {result.missing_servers_for_all} more servers would cover the whole demand"
            )
        if result.missing_servers:
            is_sufficient = False
            plural = "" if result.missing_servers == 1 else "s"
            click.echo(
                "  the fleet is too small for this loss: "
                f"{result.missing_servers} more server{plural} needed"
            )
    if not is_sufficient:
        raise SystemExit(1)
