"""Text tables of comparisons."""

from collections.abc import Iterable

from .comparison import CHOSEN, Comparison

__all__ = ["format_comparison", "format_comparisons"]

NAME_WIDTH = 18
COLUMN_WIDTH = 24


def format_comparisons(comparisons: Iterable[Comparison]) -> str:
    """Return tables of the figures, with the ratio of each baseline to the product's own."""
    return "\n\n".join(format_comparison(comparison) for comparison in comparisons)


def format_comparison(comparison: Comparison) -> str:
    """Return the table of one comparison.

    Examples
    --------
    >>> figures = {"chosen": {"moves": 2.0}, "greedy": {"moves": 5.0}}
    >>> print(format_comparison(Comparison("keyed", "caroni", "steady", figures)))
    caroni / steady / keyed: figure, and its ratio to the chosen decision
                                         moves
    chosen                                   2
    greedy                           5 (x2.50)
    """
    title = f"{comparison.deployment} / {comparison.scenario} / {comparison.subject}"
    names = list(comparison.figures[CHOSEN])
    lines = [f"{title}: figure, and its ratio to the chosen decision"]
    lines.append(" " * NAME_WIDTH + "".join(name.rjust(COLUMN_WIDTH) for name in names))
    lines[-1] = lines[-1].rstrip()
    for decision, figures in comparison.figures.items():
        ratios = comparison.ratios(decision)
        cells = [_cell(figures[name], ratios[name], decision == CHOSEN) for name in names]
        lines.append(decision.ljust(NAME_WIDTH) + "".join(c.rjust(COLUMN_WIDTH) for c in cells))
    return "\n".join(lines)


def _cell(value: float, ratio: float | None, is_chosen: bool) -> str:
    text = f"{value:.4g}" if abs(value) < 1000.0 else f"{value:.0f}"
    if is_chosen:
        return text
    return f"{text} (-)" if ratio is None else f"{text} (x{ratio:.2f})"
