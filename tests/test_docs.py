"""The lists in docs/ match the code, and links have a target."""

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


def test_each_event_is_documented_once():
    rows = _EVENT_ROW.findall(_text("EVENTS.md"))
    documented = [(int(number), name) for number, name, _ in rows]
    expected = [(event.value, event.name.lower()) for event in events.Event]
    assert documented == expected, "add the event's line to docs/EVENTS.md"


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
def test_each_reason_is_documented_once(title, enum):
    documented = [name for name, _ in _REASON_ROW.findall(_section(title))]
    expected = [reason.value for reason in enum]
    assert sorted(documented) == sorted(expected), "correct docs/METRICS.md"


def test_each_other_counter_is_documented():
    documented = {
        name for name, _ in _REASON_ROW.findall(_section("Other names"))
    }
    used = set()
    for path in (_ROOT / "ebonytally").rglob("*.py"):
        used.update(re.findall(r'count\(\s*"([a-z_]+)"', path.read_text()))
    assert used <= documented, "correct docs/METRICS.md"


def test_each_duration_is_documented():
    documented = {
        name for name, _ in _REASON_ROW.findall(_section("Durations"))
    }
    used = set()
    for path in (_ROOT / "ebonytally").rglob("*.py"):
        names = re.findall(
            r'record_duration\(\s*"([a-z_]+)"', path.read_text()
        )
        used.update(names)
    assert used == documented, "correct docs/METRICS.md"


@pytest.mark.parametrize("page", _PAGES, ids=lambda page: page.name)
def test_link_targets_exist(page):
    for target in _LINK.findall(page.read_text()):
        assert (page.parent / target).exists(), f"{page.name}: {target}"
