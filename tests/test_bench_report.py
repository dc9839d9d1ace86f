"""Tests of the HTML reports of benchmarks."""

from benches import report


def test_report_has_all_figures_and_a_plot_for_each_list(tmp_path):
    figures = {
        "planned": {"share_by_s": [1.0, 0.9, 1.0], "answered_share": 0.97},
        "unplanned": {"share_by_s": [1.0, 0.2, 1.0]},
        "note": "<odd>",
    }
    path = report.write(str(tmp_path), "outage", figures)
    page = (tmp_path / "outage.html").read_text()
    assert path == str(tmp_path / "outage.html")
    assert "planned.answered_share</td><td>0.97" in page
    assert "&lt;odd&gt;" in page
    picture = (tmp_path / "outage-0.png").read_bytes()
    assert picture.startswith(b"\x89PNG")
    assert not (tmp_path / "outage-1.png").exists()
