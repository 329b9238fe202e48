"""Plots of comparisons."""

from collections.abc import Sequence
from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from .comparison import Comparison

__all__ = ["plot_comparisons"]

PLOTTED_FIGURES = {
    "keyed": ("imbalance", "churn_load", "unavailable_key_seconds", "p99_ms"),
    "targets": ("imbalance", "p50_ms", "p99_ms", "found_full"),
}
SIZE_INCHES = (12.0, 8.0)
GROUP_WIDTH = 0.8


def plot_comparisons(comparisons: Sequence[Comparison], directory: Path) -> list[Path]:
    """Write one SVG file for each subject and deployment.

    Parameters
    ----------
    comparisons : sequence of Comparison
    directory : Path
        Created if it does not exist.

    Returns
    -------
    list of Path
        The files written.
    """
    directory.mkdir(parents=True, exist_ok=True)
    groups: dict[tuple[str, str], list[Comparison]] = {}
    for comparison in comparisons:
        groups.setdefault((comparison.subject, comparison.deployment), []).append(comparison)
    paths = []
    for (subject, deployment), members in groups.items():
        path = directory / f"{subject}-{deployment}.svg"
        _plot(members, PLOTTED_FIGURES[subject], f"{deployment}, {subject}", path)
        paths.append(path)
    return paths


def _plot(members: Sequence[Comparison], names: tuple[str, ...], title: str, path: Path) -> None:
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    FigureCanvasAgg(figure)
    figure.suptitle(title)
    axes = figure.subplots(2, 2).flatten()
    decisions = list(members[0].figures)
    width = GROUP_WIDTH / len(decisions)
    for axis, name in zip(axes, names, strict=True):
        for i, decision in enumerate(decisions):
            positions = [u + i * width for u in range(len(members))]
            heights = [member.figures[decision][name] for member in members]
            axis.bar(positions, heights, width, label=decision)
        axis.set_title(name)
        axis.set_xticks(range(len(members)), [m.scenario for m in members], rotation=30)
    axes[0].legend(fontsize="small")
    figure.savefig(path, metadata={"Date": None})
