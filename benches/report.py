"""HTML report of a benchmark, with plots of its series."""

from collections.abc import Iterator
import html
import os

import attrs
import matplotlib
from matplotlib import figure

matplotlib.use("Agg")

WIDTH_INCHES = 8.0
HEIGHT_INCHES = 3.5


@attrs.frozen
class Series:
    """A line of a plot.

    :param plot: title of the plot, shared by series of one key
    :param values: values along the x axis, from zero
    """

    plot: str
    name: str
    values: tuple[float, ...]


def write(folder: str, name: str, figures: dict) -> str:
    """Write ``NAME.html`` and its plots; return the path of the page.

    :param figures: figures of a benchmark, as its `run` returns them
    :raises OSError: when the folder can't be written
    """
    os.makedirs(folder, exist_ok=True)
    plots: dict[str, list[Series]] = {}
    for series in _series(figures, ()):
        plots.setdefault(series.plot, []).append(series)
    pictures = []
    for number, (title, lines) in enumerate(sorted(plots.items())):
        picture = f"{name}-{number}.png"
        _draw(os.path.join(folder, picture), title, lines)
        pictures.append((title, picture))
    path = os.path.join(folder, f"{name}.html")
    with open(path, "w", encoding="utf-8") as file:
        file.write(_page(name, figures, pictures))
    return path


def _series(value: object, path: tuple[str, ...]) -> Iterator[Series]:
    """Yield each list of numbers, named by its path of keys."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _series(item, (*path, str(key)))
    elif _is_plotted(value):
        plot = path[-1]
        name = ".".join(path[:-1]) or plot
        yield Series(plot, name, tuple(map(float, value)))


def _is_plotted(value: object) -> bool:
    if not isinstance(value, list) or len(value) < 2:
        return False
    return all(isinstance(item, (int, float)) for item in value)


def _draw(path: str, title: str, lines: list[Series]) -> None:
    plot = figure.Figure((WIDTH_INCHES, HEIGHT_INCHES))
    axes = plot.subplots()
    for line in lines:
        axes.plot(range(len(line.values)), line.values, label=line.name)
    axes.set_title(title)
    axes.set_ylim(bottom=0)
    axes.grid(True, alpha=0.3)
    axes.legend(fontsize="small")
    plot.tight_layout()
    plot.savefig(path)


def _rows(value: object, path: tuple[str, ...]) -> Iterator[str]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _rows(item, (*path, str(key)))
    elif not isinstance(value, list):
        name = html.escape(".".join(path))
        yield f"<tr><td>{name}</td><td>{html.escape(str(value))}</td></tr>"


def _page(
    name: str,
    figures: dict,
    pictures: list[tuple[str, str]],
) -> str:
    images = "\n".join(
        f'<p><img src="{picture}" alt="{html.escape(title)}"></p>'
        for title, picture in pictures
    )
    rows = "\n".join(_rows(figures, ()))
    return (
        "<!doctype html>\n<meta charset=utf-8>\n"
        f"<title>{name}</title>\n<h1>{name}</h1>\n"
        f"{images}\n<table>\n{rows}\n</table>\n"
    )
