"""The pages that are kept current name only files, modules, classes and functions that exist.

Read are README.md, CONTRIBUTING.md and the pages of docs/, without the history in docs/standing.md.
In them a name in backticks is looked up in the tree, so a rename can't leave the pages behind:

* a path (`store/replica.py`, `docs/ctl.md`) is a file or folder, from the root, from `loomstand/`,
  from `tests/` or from the page's own folder; a bare `replica.py` is the name of some file;
* `path::test_name` and `test_name` name tests, where `...` stands for letters left out;
* `loomstand.a.b` is a module or a name defined in one, also within blocks of commands and code;
* `Name`, `Name.attribute`, `module.Name`, `CONSTANT` and `snake_case()` are defined in the code;
* a relative link leads to a file, and to a heading of it.

In a table the columns named in `HISTORY` are passed over, as they hold names that are gone. Names
of other programs are listed in `OUTSIDE`.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).resolve().parent.parent
CODE_FOLDERS = ("loomstand", "tests", "benchmarks")
HISTORY_PAGES = {"docs/standing.md"}
HISTORY = {"old name", "before"}
SUFFIXES = r"(?:py|md|toml|txt|png|feature|sh|json)"
# Files that a command writes, or that an operator names; no part of the tree.
WRITTEN = {
    "report.json",
    "index.json",
    "limiter.json",
    "configuration.json",
    "goodput.png",
    "plans.png",
    "load.png",
    "sweep.png",
    "worth.png",
    "zones.png",
    "nakhla-loom.toml",
    "r12.json",
    "r13.json",
    "r14.json",
    "KNOWN-RED.txt",
    "point-N/report.json",
}
# Names of other programs and of the operators' pages.
OUTSIDE: set[str] = set()

PATH = re.compile(rf"[\w.<>*{{}}-]+(?:/[\w.<>*{{}}-]+)*\.{SUFFIXES}")
FOLDER = re.compile(r"(?:[\w.-]+/)+")
DOTTED = re.compile(r"\bloomstand(?:\.[A-Za-z_]\w*)+")
IDENTIFIER = re.compile(r"[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)*(?:\(\))?")
TEST = re.compile(r"(?P<path>[\w./-]+\.py)?(?:::)?(?P<name>(?:\.\.\.)?_?test_\w+(?:\.\.\.\w*)*)")
LINK = re.compile(r"\]\(([^)\s]+)\)")


class Class(NamedTuple):
    """A class's own attributes and the names of its bases."""

    attributes: set[str]
    bases: list[str]


class Tree(NamedTuple):
    """What the code defines."""

    modules: dict[str, set[str]]  # names defined at a module's top level, by its dotted name
    classes: dict[str, list[Class]]  # all classes of that name
    names: set[str]  # functions, methods, constants and attributes, of whatever module
    tests: dict[str, set[str]]  # names of tests, by file


def pages() -> list[Path]:
    """The pages that are kept current."""
    found = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").glob("*.md"))]
    return [page for page in found if page.relative_to(ROOT).as_posix() not in HISTORY_PAGES]


def targets(node: ast.stmt) -> Iterator[str]:
    """The plain names and the attributes of `self` that a statement assigns."""
    found = node.targets if isinstance(node, ast.Assign) else []
    if isinstance(node, ast.AnnAssign | ast.AugAssign):
        found = [node.target]
    for target in found:
        for part in ast.walk(target):
            if isinstance(part, ast.Name):
                yield part.id
            elif isinstance(part, ast.Attribute):
                yield part.attr


def top_level(body: list[ast.stmt]) -> Iterator[str]:
    """Names defined or imported by the statements of a module or class."""
    for node in body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            yield node.name
        elif isinstance(node, ast.Import | ast.ImportFrom):
            yield from (alias.asname or alias.name for alias in node.names)
        elif isinstance(node, ast.If | ast.Try):
            yield from top_level(node.body)
        else:
            yield from targets(node)


def read_class(node: ast.ClassDef) -> Class:
    """A class's attributes: methods, fields, and what its methods assign to `self`."""
    attributes = set(top_level(node.body))
    for part in ast.walk(node):
        if isinstance(part, ast.stmt):
            attributes |= set(targets(part))
    bases = [base.id if isinstance(base, ast.Name) else "" for base in node.bases]
    bases += [base.attr for base in node.bases if isinstance(base, ast.Attribute)]
    return Class(attributes, bases)


@cache
def tree() -> Tree:
    """The code of all folders, read once."""
    found = Tree({}, {}, set(), {})
    for folder in CODE_FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            relative = path.relative_to(ROOT)
            module = ".".join(relative.with_suffix("").parts).removesuffix(".__init__")
            parsed = ast.parse(path.read_text())
            found.modules[module] = set(top_level(parsed.body))
            found.names.update(found.modules[module])
            tests = found.tests.setdefault(relative.as_posix(), set())
            for node in ast.walk(parsed):
                if isinstance(node, ast.ClassDef):
                    found.classes.setdefault(node.name, []).append(read_class(node))
                elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                    found.names.add(node.name)
                    if node.name.startswith("test_"):
                        tests.add(node.name)
                elif isinstance(node, ast.stmt):
                    found.names.update(targets(node))
    return found


@cache
def files() -> tuple[set[str], set[str]]:
    """All files and folders of the tree by path, and the files' names."""
    paths: set[str] = set()
    names: set[str] = set()
    tops = [top for top in ROOT.iterdir() if not top.name.startswith(".git")]
    for top in tops:
        paths.add(top.name)
        names.add(top.name)
        if top.is_dir() and top.name not in {".venv", "journal", "target"}:
            for path in top.rglob("*"):
                if "__pycache__" not in path.parts:
                    paths.add(path.relative_to(ROOT).as_posix())
                    names.add(path.name)
    return paths, names


def path_exists(text: str, page: Path) -> bool:
    """Whether a path, or a bare file name, is one of the tree."""
    paths, names = files()
    text = text.removeprefix("./").rstrip("/")
    if text in WRITTEN or "/" not in text and text in names:
        return True
    if re.search(r"[<>*{}]|NAME|PKG", text):
        return True
    home = page.parent.relative_to(ROOT).as_posix()
    starts = ("", "loomstand/", "loomstand/testing/", "tests/", "examples/", f"{home}/")
    return any(start + text in paths for start in starts)


def class_has(name: str, attribute: str, seen: frozenset[str] = frozenset()) -> bool:
    """Whether a class of this name, or one of its bases, has this attribute."""
    for found in tree().classes.get(name, []):
        if attribute in found.attributes:
            return True
        if any(class_has(b, attribute, seen | {name}) for b in found.bases if b not in seen):
            return True
    return False


def dotted_exists(text: str) -> bool:
    """Whether `loomstand.a.b.Name.attribute` is a module or is defined in one."""
    modules = tree().modules
    parts = text.split(".")
    for length in range(len(parts), 0, -1):
        module = ".".join(parts[:length])
        if module in modules:
            return names_exist(modules[module], parts[length:])
    return False


def names_exist(defined: set[str], parts: list[str]) -> bool:
    """Whether what follows a module's name is defined there, an attribute in its class."""
    if not parts:
        return True
    if parts[0] not in defined:
        return False
    return len(parts) == 1 or class_has(parts[0], parts[1])


def identifier_exists(text: str) -> bool:
    """Whether a name in backticks is defined; a plain lower-case word is taken as text."""
    name = text.removesuffix("()")
    parts = name.split(".")
    first = parts[0]
    if name in OUTSIDE or first in OUTSIDE:
        return True
    if first in tree().classes:
        return len(parts) == 1 or class_has(first, parts[1])
    if re.fullmatch(r"[A-Z]\w*", first) and len(first) > 1:
        return len(parts) == 1 and first in tree().names
    if len(parts) == 1:
        return name == text or name in tree().names
    if not any(module.endswith("." + first) for module in tree().modules):
        return True
    return module_path_exists(parts)


def module_path_exists(parts: list[str]) -> bool:
    """Whether `package.module.Name` without the leading `loomstand.` is defined.

    A dotted name that ends in a lower-case word may also be a key of a settings file or of an
    answer, such as `store.epoch`: those are not judged here.
    """
    starts = [m for m in tree().modules if m.endswith("." + parts[0])]
    ends = [m.removesuffix(parts[0]) for m in starts]
    if any(dotted_exists(start + ".".join(parts)) for start in ends):
        return True
    return not any(re.match(r"[A-Z]", part) for part in parts)


def test_exists(text: str, path: str | None) -> bool:
    """Whether some test has this name, in which `...` stands for letters left out."""
    pattern = ".*".join(re.escape(part) for part in text.split("..."))
    tests = tree().tests
    if path is None:
        candidates = set().union(*tests.values())
    else:
        candidates = set().union(*(t for f, t in tests.items() if f.endswith("/" + path)))
    return any(re.fullmatch(pattern, name) for name in candidates)


test_exists.__test__ = False  # type: ignore[attr-defined]


def without_history(text: str) -> str:
    """A page's text without the columns whose heading is in `HISTORY`."""
    out: list[str] = []
    dropped: set[int] = set()
    for line in text.splitlines():
        cells = line.split("|")
        if not line.startswith("|"):
            dropped = set()
        elif not dropped:
            dropped = {n for n, cell in enumerate(cells) if cell.strip().lower() in HISTORY}
        out.append("|".join("" if n in dropped else cell for n, cell in enumerate(cells)))
    return "\n".join(out)


def missing(page: Path) -> list[str]:
    """What a page names and the tree doesn't have."""
    text = without_history(page.read_text())
    wrong = [name for name in DOTTED.findall(text) if not dotted_exists(name)]
    prose = re.sub(r"^(```.*?^```|    .*?$)", "", text, flags=re.M | re.S)
    last_path: str | None = None
    for code in re.findall(r"`([^`\n]+)`", prose):
        bare = re.sub(r"\[.*\]$", "", code)
        if test := TEST.fullmatch(bare):
            if test["path"]:
                last_path = test["path"].rpartition("/")[2]
            within = last_path if "::" in bare else None
            if not test_exists(test["name"], within):
                wrong.append(code)
        elif PATH.fullmatch(code):
            last_path = code.rpartition("/")[2]
            if not path_exists(code, page):
                wrong.append(code)
        elif FOLDER.fullmatch(code):
            if not path_exists(code, page):
                wrong.append(code)
        elif IDENTIFIER.fullmatch(code) and not identifier_exists(code):
            wrong.append(code)
    wrong += [path for path in re.findall(r"\bdocs/[\w.-]+\.\w+", text) if not path_exists(path, page)]
    return wrong


def anchors(page: Path) -> set[str]:
    """The anchors of a page's headings, as the forges make them."""
    headings = re.findall(r"^#+ (.*)$", page.read_text(), flags=re.M)
    plain = [re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings]
    return {heading.strip().replace(" ", "-") for heading in plain}


def broken_links(page: Path) -> list[str]:
    """The relative links of a page that lead nowhere."""
    wrong = []
    for link in LINK.findall(page.read_text()):
        if re.match(r"\w+:", link):
            continue
        path, _, anchor = link.partition("#")
        target = (page.parent / path).resolve() if path else page
        if not target.exists() or anchor and anchor not in anchors(target):
            wrong.append(link)
    return wrong


@pytest.mark.parametrize("page", pages(), ids=lambda page: page.name)
def test_what_a_page_names_exists(page):
    assert missing(page) == []


@pytest.mark.parametrize("page", pages(), ids=lambda page: page.name)
def test_relative_links_lead_somewhere(page):
    assert broken_links(page) == []
