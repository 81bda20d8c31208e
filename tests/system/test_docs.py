"""The pages name what is there: paths, identifiers, links, events, metrics, and the way that imports go."""

from __future__ import annotations

import ast
import re
import subprocess
from collections import Counter
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

from irisdeal.rpc.calls import CALLS
from irisdeal.runtime.events import Event

ROOT = Path(__file__).parents[2]
GLOSSARY = ROOT / "docs" / "GLOSSARY.md"
ARCHITECTURE = ROOT / "docs" / "ARCHITECTURE.md"
ON_CALL = ROOT / "docs" / "operate" / "on-call.md"
PAGES = sorted([ROOT / "README.md", ROOT / "CHANGELOG.md", *(ROOT / "docs").rglob("*.md")])

# The users' plain words, each of which has a row in the glossary.
USERS_WORDS = """
told; whole; held; turned away; sent on; try; further try, second copy; drains, leaves; cold; ramp;
aim; worth; trouble, mishap; ill, sick; thrown out, kept apart; probe; beat; life; list; news, word;
duty; holder, keeper; hold; fence; mates, fellows, kin; copy; part, piece; place; mark; letter,
note, errand; book, ledger; round, ballot; promise, vote; settle; mend; silence; cut; share;
ceiling; shed; line, queue of waiting; pause that grows; repeatable; pinned; kept prefix, memory of
a prompt; reads the prompt; makes tokens; put back, pushed out; lot; helper; saves; room; hand in
"""

# Names of the programs and packages before they were renamed: no page but a history says them.
WITHDRAWN = re.compile(r"\b(gauge|almanac|squall|mast|telegraph|vane|cresspulley)s?\b", re.IGNORECASE)
# What keeps such a name for good: the folder on disk, the deprecated command, names that peers parse on the
# wire.
KEPT_NAMES = ("almanac-data", "irisdeal almanac", "gauge IP", "almanac IP")
HISTORIES = ("docs/incidents/", "docs/ROADMAP.md", "docs/review.md", "CHANGELOG.md")

# Backticked texts with a slash or a suffix of files that are no files of the repository.
NO_FILES = {
    "config/read": "an address of the registry",
    "registry/ended": "a file in `data_path`",
    "registry/issuers.json": "a file in `data_path`",
    "net/http": "a package of Go",
    "target/": "made by the deployment's build",
    "PORT/PATH": "a form of a setting",
}


def tracked() -> list[str]:
    """The files of the repository, with those that are not committed yet."""
    listed = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return [path for path in listed.stdout.splitlines() if (ROOT / path).exists()]


@cache
def file_names() -> Counter[str]:
    """How often each bare file name is there."""
    return Counter(Path(path).name for path in tracked())


def name_of(page: Path) -> str:
    return page.relative_to(ROOT).as_posix()


def without_blocks(text: str) -> str:
    """The text without its fenced blocks."""
    return re.sub(r"^ *```.*?^ *```", "", text, flags=re.DOTALL | re.MULTILINE)


def backticked(text: str) -> list[str]:
    return re.findall(r"`([^`\n]+)`", without_blocks(text))


def is_path(text: str) -> bool:
    """Whether a backticked text names a file or folder of the repository."""
    if not re.fullmatch(r"[\w.-][\w./-]*", text) or text in NO_FILES:
        return False
    return "/" in text or re.search(r"\.(py|md|toml|feature)$", text) is not None


def exists(text: str) -> bool:
    """A path from the root or from `irisdeal/`; a bare file name where just one file has it."""
    if "/" in text:
        return any((ROOT / folder / text).exists() for folder in ("", "irisdeal"))
    return (ROOT / text).exists() or file_names()[text] == 1


def rows(page: Path, heading: str) -> list[list[str]]:
    """The cells of the first table below this heading, without its head."""
    below = ("\n" + page.read_text("utf-8")).split(f"\n{heading}\n", 1)[1]
    table = re.search(r"(?:^\|.*\n)+", below, re.MULTILINE)
    assert table is not None, f"{name_of(page)}: no table below {heading!r}"
    lines = table[0].splitlines()[2:]
    return [[cell.strip() for cell in re.split(r"(?<!\\)\|", line)[1:-1]] for line in lines]


def paths_in(text: str) -> list[str]:
    return [token for token in backticked(text) if is_path(token)]


# What a module defines


def _targets(node: ast.AST) -> Iterator[str]:
    if isinstance(node, ast.Assign):
        targets = node.targets
    elif isinstance(node, ast.AnnAssign):
        targets = [node.target]
    else:
        return
    for target in targets:
        for name in ast.walk(target):
            if isinstance(name, ast.Name):
                yield name.id
            elif isinstance(name, ast.Attribute):
                yield name.attr


def _members(class_: ast.ClassDef) -> Iterator[str]:
    """Methods, fields, and attributes that methods assign."""
    for node in ast.walk(class_):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            yield node.name
        yield from _targets(node)


@cache
def defined(path: str) -> frozenset[str]:
    """`Name` and `Class.member` of all that this module defines."""
    found: set[str] = set()
    for node in ast.parse((ROOT / path).read_text("utf-8")).body:
        found.update(_targets(node))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            found.add(node.name)
        if isinstance(node, ast.ClassDef):
            found.add(node.name)
            found.update(f"{node.name}.{member}" for member in _members(node))
    return frozenset(found)


def modules(paths: list[str]) -> list[str]:
    return [path for path in paths if path.startswith("irisdeal/") and path.endswith(".py")]


# Pages


def test_the_readme_begins_with_the_two_commands() -> None:
    commands = re.findall(r"^    (make \w+) ", (ROOT / "README.md").read_text("utf-8"), re.MULTILINE)
    assert commands[:2] == ["make demo", "make test"]


@pytest.mark.parametrize("page", PAGES, ids=name_of)
def test_each_path_of_a_page_is_there(page: Path) -> None:
    missing = [path for path in paths_in(page.read_text("utf-8")) if not exists(path)]
    assert not missing


def _anchors(page: Path) -> set[str]:
    """The anchors of a page's headings, as the common forges make them."""
    headings = re.findall(r"^#+ +(.+)$", page.read_text("utf-8"), re.MULTILINE)
    plain = [re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings]
    return {heading.strip().replace(" ", "-") for heading in plain}


@pytest.mark.parametrize("page", PAGES, ids=name_of)
def test_each_link_of_a_page_leads_somewhere(page: Path) -> None:
    dead = []
    for target in re.findall(r"\]\(([^)\s]+)\)", page.read_text("utf-8")):
        if re.match(r"[a-z]+:", target):
            continue
        file, _, anchor = target.partition("#")
        there = (page.parent / file).resolve() if file else page
        if not there.exists() or (anchor and anchor not in _anchors(there)):
            dead.append(target)
    assert not dead


@pytest.mark.parametrize(
    "page", [page for page in PAGES if not name_of(page).startswith(HISTORIES)], ids=name_of
)
def test_no_page_uses_a_withdrawn_program_name(page: Path) -> None:
    text = without_blocks(page.read_text("utf-8"))  # a recorded output names the program that ran
    for name in KEPT_NAMES:
        text = text.replace(name, "")
    assert not WITHDRAWN.findall(text)


def test_each_member_of_a_class_that_a_page_names_is_defined() -> None:
    """`Class.member` in any page but a history; plain names are held row by row below."""
    known = {
        name for path in tracked() if re.match(r"(irisdeal|tests)/.*\.py$", path) for name in defined(path)
    }
    wrong = [
        (name_of(page), name)
        for page in PAGES
        if not name_of(page).startswith(HISTORIES)
        for name in re.findall(r"`([A-Z]\w+\.[a-z_]\w*)", without_blocks(page.read_text("utf-8")))
        if name not in known and not name.endswith(".md")
    ]
    assert not wrong


def test_each_constant_that_a_page_names_is_in_the_code() -> None:
    """`NAME_IN_CAPITALS` in any page but a history is a word of the code."""
    sources = [
        path for path in tracked() if re.match(r"(irisdeal|tests|benchmarks|deploy)/.*\.(py|toml)$", path)
    ]
    words = {word for path in sources for word in re.findall(r"\w+", (ROOT / path).read_text("utf-8"))}
    wrong = [
        (name_of(page), name)
        for page in PAGES
        if not name_of(page).startswith(HISTORIES)
        for name in re.findall(r"`([A-Z][A-Z0-9_]{2,})`", without_blocks(page.read_text("utf-8")))
        if name not in words
    ]
    assert not wrong


# Glossary


def test_the_glossary_has_each_of_the_users_words() -> None:
    wanted = [" ".join(word.split()) for word in USERS_WORDS.split(";")]
    assert [row[0] for row in rows(GLOSSARY, "# Glossary")] == wanted


@pytest.mark.parametrize("heading", ["# Glossary", "## Terms of our own"])
def test_each_identifier_of_the_glossary_is_defined_in_its_module(heading: str) -> None:
    wrong = []
    for word, term, where in rows(GLOSSARY, heading):
        there = modules(paths_in(where))
        names = [token for token in backticked(term) if not is_path(token)]
        wrong += [(word, name) for name in names if not any(name in defined(path) for path in there)]
        wrong += [(word, "a term without a module")] if bool(names) != bool(there) else []
    assert not wrong


# Architecture


def _imported_packages(path: Path) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
    return {name.split(".")[1] for name in found if name.startswith("irisdeal.")}


def test_imports_go_down_the_table_of_packages() -> None:
    order = [row[0].strip("`").split("/")[1] for row in rows(ARCHITECTURE, "## Packages")]
    packages = {path.parent.name for path in (ROOT / "irisdeal").glob("*/__init__.py")}
    assert set(order) == packages
    upwards: set[tuple[str, str]] = set()
    for package in order:
        below = set(order[order.index(package) :])
        for path in (ROOT / "irisdeal" / package).rglob("*.py"):
            upwards.update((name_of(path), up) for up in _imported_packages(path) & packages - below)
    assert not upwards


def test_the_diagrams_name_modules_members_and_calls_that_are_there() -> None:
    blocks = re.findall(r"```mermaid\n(.*?)```", ARCHITECTURE.read_text("utf-8"), re.DOTALL)
    assert len(blocks) == 2
    for block in blocks:
        named = re.findall(r"irisdeal/[\w/]+\.py", block)
        assert named
        assert not [path for path in named if not exists(path)]
        members = set(re.findall(r"\b[A-Z]\w+\.[a-z_]\w*", block))
        known = {name for path in named for name in defined(path)}
        assert not members - known
        assert set(re.findall(r'call "(\w+)"', block)) <= CALLS.keys()


# On call


def test_each_event_has_a_row_with_the_modules_that_log_it() -> None:
    told = {int(number[1:]): modules(paths_in(where)) for number, where, _ in rows(ON_CALL, "## By event")}
    assert sorted(told) == sorted(event.value for event in Event)
    sources = {path: (ROOT / path).read_text("utf-8") for path in tracked() if path.startswith("irisdeal/")}
    for event in Event:
        logged = {
            path
            for path, source in sources.items()
            if re.search(rf"\bEvent\.{event.name}\b", source) and path != "irisdeal/runtime/events.py"
        }
        if event is Event.INVARIANT_VIOLATED:  # by `invariant` alone, for all who call it
            logged = {"irisdeal/runtime/events.py"}
        assert set(told[event.value]) == logged, event


def test_each_event_number_of_a_page_is_one_of_the_code() -> None:
    numbers = {event.value for event in Event}
    for page in PAGES:
        named = {int(number) for number in re.findall(r"\bE(\d{3})\b", page.read_text("utf-8"))}
        assert named <= numbers, name_of(page)


@pytest.mark.parametrize("heading", ["## By symptom", "## Where do I change it", "## By metric"])
def test_each_identifier_of_a_row_is_defined_in_a_module_of_the_row(heading: str) -> None:
    wrong = []
    for row in rows(ON_CALL, heading):
        there = modules(paths_in(" ".join(row)))
        names = re.findall(r"`([A-Z]\w+(?:\.\w+)?)`", " ".join(row))
        wrong += [name for name in names if not any(name in defined(path) for path in there)]
        wrong += [] if there else [f"a row without a module: {row[0]}"]
    assert not wrong


def test_each_metric_has_a_row() -> None:
    """Counters and summaries by the names that their modules give them."""
    wanted: set[tuple[str, str]] = set()
    for package in ("proxy", "registry", "config_store"):
        path = f"irisdeal/{package}/metrics.py"
        for node in ast.walk(ast.parse((ROOT / path).read_text("utf-8"))):
            if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
                continue
            if node.func.attr in ("counter", "summary"):
                suffix = "_total" if node.func.attr == "counter" else ""
                wanted.add((f"irisdeal_{ast.literal_eval(node.args[0])}{suffix}", path))
    found = {
        (figure.strip("`"), path)
        for figure, where, _ in rows(ON_CALL, "## By metric")
        for path in paths_in(where)
    }
    assert wanted
    assert found == wanted
