"""Plots the losses of each day as stacked bars.

matplotlib is optional, so it is imported only when a plot is requested.
"""

from __future__ import annotations

from loomstand.testing.fault_schedules.entry import Entry
from loomstand.testing.fault_schedules.losses import of_day, of_entry

# Causes with a colour of their own; matplotlib's palette has ten, one of which is for all others.
MAX_CAUSES = 9


def bars(entry: Entry, path: str) -> None:
    """Plots an entry as stacked bars, one for each day, to a PNG file.

    Raises:
        ImportError: matplotlib isn't installed.
        OSError: The file can't be written.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    causes = sorted(of_entry(entry), key=lambda loss: -loss.worth)
    named = [loss.cause for loss in causes[:MAX_CAUSES] if loss.worth > 0]
    lost = [{loss.cause: max(loss.worth, 0.0) for loss in of_day(day)} for day in entry.days]
    rows = [(cause, [day.get(cause, 0.0) for day in lost]) for cause in named]
    rows.append(("other", [sum(v for c, v in day.items() if c not in named) for day in lost]))
    names = [day.name for day in entry.days]
    fig, ax = plt.subplots(figsize=(9, 1.5 + 0.35 * len(names)))
    left = [0.0] * len(names)
    for n, (cause, widths) in enumerate(rows):
        ax.barh(names, widths, left=left, label=cause, color=f"C{n}")
        left = [a + b for a, b in zip(left, widths, strict=True)]
    ax.invert_yaxis()
    ax.set_xlabel("worth lost, of what is owed")
    ax.set_title(f"{entry.site}, {entry.verb} {entry.id}")
    ax.legend(fontsize="small", loc="center left", bbox_to_anchor=(1.0, 0.5))
    fig.savefig(path, dpi=100, bbox_inches="tight", format="png")
    plt.close(fig)
