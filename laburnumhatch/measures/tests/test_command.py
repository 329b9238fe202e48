import json

from click.testing import CliRunner

from .. import command
from ..comparison import Comparison
from ..plots import plot_comparisons

FIGURES = {
    "imbalance": 1.5,
    "churn_load": 0.5,
    "unavailable_key_seconds": 10.0,
    "p99_ms": 20.0,
}
COMPARISON = Comparison("keyed", "caroni", "steady", {"chosen": FIGURES, "greedy": FIGURES})


def test_json_output_contains_the_figures(monkeypatch):
    monkeypatch.setattr(command, "compare_decisions", lambda cases, workers: [COMPARISON])
    result = CliRunner().invoke(command.measure, ["steady", "--seed", "7", "--json"])
    assert result.exit_code == 0
    assert json.loads(result.output)[0]["figures"]["greedy"] == FIGURES


def test_unknown_scenario_is_rejected_with_usage_error():
    result = CliRunner().invoke(command.measure, ["storm"])
    assert result.exit_code == 2
    assert "storm" in result.output


def test_plot_is_written_as_svg(tmp_path):
    assert plot_comparisons([COMPARISON], tmp_path) == [tmp_path / "keyed-caroni.svg"]
    assert (tmp_path / "keyed-caroni.svg").read_text().startswith("<?xml")
