"""Linear fits to the measurements of a scale run, their residuals, and plots."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

Point = dict[str, Any]


@dataclass(slots=True, frozen=True)
class Slope:
    """A line `start + slope * by` through measured points.

    Attributes:
        name: Name of the measurement.
        by: Name of the size that was swept.
        slope: Increase per unit of the size.
        start: Value at size 0.
        off: Largest residual, as a share of the measured value.
        bend: Slope of the last step divided by that of the first; 1 for a straight line.
        points: The sizes and measured values.
    """

    name: str
    by: str
    slope: float
    start: float
    off: float
    bend: float
    points: tuple[tuple[float, float], ...]


def fit(name: str, by: str, points: list[tuple[float, float]]) -> Slope | None:
    """Fits a line by least squares of the relative residuals, so that all sizes weigh the same.

    Returns None for fewer than two sizes.
    """
    points = sorted(points)
    if len({x for x, _ in points}) < 2:
        return None
    x, y = np.array([p[0] for p in points]), np.array([p[1] for p in points])
    weight = 1 / np.maximum(np.abs(y), 1e-9 + 0.02 * np.abs(y).max())
    slope, start = np.polyfit(x, y, 1, w=weight)
    off = float(np.max(np.abs(start + slope * x - y) * weight))
    first = (y[1] - y[0]) / (x[1] - x[0]) if x[1] > x[0] else 0.0
    last = (y[-1] - y[-2]) / (x[-1] - x[-2]) if x[-1] > x[-2] else 0.0
    bend = float(last / first) if first else float("nan")
    return Slope(
        name,
        by,
        float(slope),
        float(start),
        off,
        bend,
        tuple((float(a), float(b)) for a, b in points),
    )


def _cpu(window: str, role: str) -> Callable[[Point], float]:
    return lambda one: one[window][role]["user_ms"] + one[window][role]["kernel_ms"]


def _of(window: str, role: str, key: str) -> Callable[[Point], float]:
    return lambda one: one[window][role][key]


MEASURED: dict[str, Callable[[Point], float]] = (
    {
        f"{role} {window}, ms/s": _cpu(window, role)
        for window in ("rest", "counting", "changing")
        for role in ("proxy", "registry", "counter", "store", "primary")
    }
    | {f"{role}, MB": _of("rest", role, "resident_mb") for role in ("proxy", "registry", "store")}
    | {
        f"{role} {window}, messages/s in": _of(window, role, "taken")
        for window, role in (("rest", "registry"), ("counting", "counter"), ("rest", "store"))
    }
    | {
        f"{role} rest, kB/s {way}": _of("rest", role, f"kb_{way}")
        for role in ("registry", "store")
        for way in ("in", "out")
    }
    | {
        "limiter rest, ms/s": lambda one: one["rest"]["hollow"]["each_ms"],
        "limiter rest, kB/s in": lambda one: one["rest"]["limiter"]["kb_in"],
        "limiter changing, kB/s in": lambda one: one["changing"]["limiter"]["kb_in"],
        "change in force, median ms": lambda one: one["change"]["in force"]["median"],
        "change in force, worst ms": lambda one: one["change"]["in force"]["worst"],
        "change acknowledged, worst ms": lambda one: one["change"]["acknowledged"]["worst"],
        "drain known, worst ms": lambda one: one["drain"]["known"]["worst"],
        "limiters start, worst ms": lambda one: one["limiters start"]["worst"],
        "cold start, limiters, worst ms": lambda one: one["cold start"]["limiters"]["worst"],
        "primary lost, s": lambda one: one["primary lost"]["s"],
        "counter lost, s": lambda one: one["counter lost"]["s"],
    }
)


def values(
    points: list[Point], by: str, get: Callable[[Point], float]
) -> list[tuple[float, float]]:
    """Returns the sizes and the measured values, without the sizes that lack the measurement."""
    measured = []
    for point in points:
        try:
            measured.append((float(point["size"][by]), float(get(point))))
        except (KeyError, TypeError):
            continue
    return measured


def slopes(sweeps: dict[str, list[Point]]) -> list[Slope]:
    """Returns the fit of each measurement by each size that was swept."""
    fits = (
        fit(name, by, values(points, by, get))
        for by, points in sweeps.items()
        for name, get in MEASURED.items()
    )
    return [slope for slope in fits if slope is not None]


# The window that shows the cost of a sweep; the window at rest for others.
WINDOW = {
    "routes": "changing",
    "tenants": "changing",
    "changes": "changing",
    "counts": "counting",
    "use": "counting",
}
PANELS = {
    "work": (
        "ms of processor a second",
        lambda name, by: name.endswith(f"{WINDOW.get(by, 'rest')}, ms/s"),
    ),
    "times": ("ms", lambda name, by: name.endswith(" ms")),
    "memory": ("MB resident", lambda name, by: name.endswith(", MB")),
}
PANELS_PER_ROW = 4


def plots(sweeps: dict[str, list[Point]], folder: Path) -> list[Path]:
    """Writes a plot for each kind of measurement, with a panel of points and lines per sweep."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    written = []
    swept = [(by, points) for by, points in sweeps.items() if len(points) > 1]
    rows = max(1, -(-len(swept) // PANELS_PER_ROW))
    for kind, (unit, shows) in PANELS.items():
        figure, axes = pyplot.subplots(
            rows, PANELS_PER_ROW, figsize=(3.6 * PANELS_PER_ROW, 3.2 * rows), squeeze=False
        )
        for axis in axes.flat[len(swept) :]:
            axis.set_axis_off()
        for axis, (by, points) in zip(axes.flat, swept, strict=False):
            for n, name in enumerate(name for name in MEASURED if shows(name, by)):
                measured = values(points, by, MEASURED[name])
                line = fit(name, by, measured)
                if line is None:
                    continue
                x, y = np.array([p[0] for p in measured]), np.array([p[1] for p in measured])
                color = f"C{n % 10}"
                axis.plot(x, y, "o", color=color, markersize=4, label=name.rsplit(",", 1)[0])
                along = np.geomspace(x.min(), x.max(), 50)
                axis.plot(along, line.start + line.slope * along, "-", color=color, linewidth=0.8)
            axis.set_xscale("log")
            axis.set_yscale("log")
            axis.set_xlabel(by)
            axis.set_ylabel(unit)
            axis.grid(alpha=0.3)
            axis.legend(fontsize=6)
        figure.tight_layout()
        path = folder / f"capacity-{kind}.png"
        figure.savefig(path, dpi=75)
        pyplot.close(figure)
        written.append(path)
    return written
