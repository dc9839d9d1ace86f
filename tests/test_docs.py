"""The catalogues in docs/ and the code agree; links lead somewhere."""

import pathlib
import re

import pytest

from ebonytally import events
from ebonytally import reasons

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PAGES = sorted([*_ROOT.glob("*.md"), *_ROOT.glob("docs/**/*.md")])
_EVENT_ROW = re.compile(r"^\| (\d+) \| `([a-z_]+)` \| (.+?) \|", re.M)
_REASON_ROW = re.compile(r"^\| `([a-z_]+)` \| (.+?) \|$", re.M)
_LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def _text(name: str) -> str:
    return (_ROOT / "docs" / name).read_text()


def test_event_catalogue_has_each_event_once():
    rows = _EVENT_ROW.findall(_text("EVENTS.md"))
    found = [(int(number), name) for number, name, _ in rows]
    wanted = [(event.value, event.name.lower()) for event in events.Event]
    assert found == wanted, "add the event's line to docs/EVENTS.md"


def _section(title: str) -> str:
    text = _text("METRICS.md").split(f"## {title}\n")[1]
    return text.split("\n## ")[0]


@pytest.mark.parametrize(
    ("title", "enum"),
    [
        ("Reasons for a refusal", reasons.Refusal),
        ("Reasons for a retry", reasons.Retry),
    ],
)
def test_metrics_catalogue_has_each_reason_once(title, enum):
    found = [name for name, _ in _REASON_ROW.findall(_section(title))]
    wanted = [reason.value for reason in enum]
    assert sorted(found) == sorted(wanted), "amend docs/METRICS.md"


def test_metrics_catalogue_has_each_other_name():
    listed = {name for name, _ in _REASON_ROW.findall(_section("Other names"))}
    used = set()
    for path in (_ROOT / "ebonytally").rglob("*.py"):
        used.update(re.findall(r'counted\(\s*"([a-z_]+)"', path.read_text()))
    assert used <= listed, "amend docs/METRICS.md"


def test_metrics_catalogue_has_each_duration():
    listed = {name for name, _ in _REASON_ROW.findall(_section("Durations"))}
    used = set()
    for path in (_ROOT / "ebonytally").rglob("*.py"):
        found = re.findall(r'measured\(\s*"([a-z_]+)"', path.read_text())
        used.update(found)
    assert used == listed, "amend docs/METRICS.md"


@pytest.mark.parametrize("page", _PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page):
    for target in _LINK.findall(page.read_text()):
        assert (page.parent / target).exists(), f"{page.name}: {target}"
