"""Checks that the documentation names only files, modules, classes and functions that exist.

The pages are README.md, CONTRIBUTING.md and docs/, without the history in docs/standing.md. Each
name in backticks is looked up in the tree, so that a rename without a change of the pages fails:

* a path (`store/replica.py`, `docs/ctl.md`) is a file or folder, from the root, from `loomstand/`,
  from `tests/` or from the page's own folder; a bare `replica.py` is the name of some file;
* `path::test_name` and `test_name` name tests, where `...` stands for omitted letters;
* `loomstand.a.b` is a module or a name defined in one, also within blocks of commands and code;
* `Name`, `Name.attribute`, `module.Name`, `CONSTANT` and `function()` are defined in the code;
* on the pages of `STRICT` `module.name` is defined in the code or is a string in it, and a
  `snake_case` name occurs in the code;
* a relative link leads to a file, and to a heading of it.

Table columns whose heading is in `HISTORY` are skipped, as they hold former names. Names of other
programs are listed in `OUTSIDE`. The tables of docs/ARCHITECTURE.md and docs/GLOSSARY.md on imports
and on the keys of messages are compared with the code.
"""

from __future__ import annotations

import ast
import importlib
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path
from typing import NamedTuple

import msgspec
import pytest

ROOT = Path(__file__).resolve().parent.parent
CODE_FOLDERS = ("loomstand", "tests", "benchmarks")
STRICT = {"CONTRIBUTING.md", "ARCHITECTURE.md", "GLOSSARY.md"}
HISTORY_PAGES = {"docs/standing.md"}
HISTORY = {"old name", "before"}
SUFFIXES = r"(?:py|md|toml|txt|png|feature|sh|json)"
# Files that a command writes or that an operator names; they are not in the tree.
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
OUTSIDE = {
    "Acks",  # a figure of the bench
    "Starved",  # a figure of the bench
    "SO_LINGER",  # a socket option
    "LOOMSTAND_CONFIG",  # environment variables
    "PROXY_CONFIG",
    "PROXY_DISCOVERY",
    "PROXY_LISTEN",
    "PROXY_NAME",
    "G_over_oracle",  # keys of a report
}
# Folders that a rehearsal writes.
WRITTEN_FOLDERS = {"trail/", "log/"}

PATH = re.compile(rf"[\w.<>*{{}}-]+(?:/[\w.<>*{{}}-]+)*\.{SUFFIXES}")
FOLDER = re.compile(r"(?:[\w.-]+/)+")
DOTTED = re.compile(r"\bloomstand(?:\.[A-Za-z_]\w*)+")
IDENTIFIER = re.compile(r"[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)*(?:\(\))?")
TEST = re.compile(r"(?P<path>[\w./-]+\.py)?(?:::)?(?P<name>(?:\.\.\.)?_?test_\w+(?:\.\.\.\w*)*)")
PAGE = re.compile(r"\bdocs/[\w.-]+\.md\b")
LINK = re.compile(r"\]\(([^)\s]+)\)")


class Class(NamedTuple):
    """A class's own attributes and the names of its bases."""

    attributes: set[str]
    bases: list[str]


class Tree(NamedTuple):
    """The names that the code defines."""

    modules: dict[str, set[str]]  # names defined at a module's top level, by its dotted name
    classes: dict[str, list[Class]]  # all classes of that name
    names: set[str]  # functions, methods, constants and attributes of all modules
    tests: dict[str, set[str]]  # names of tests, by file


def pages() -> list[Path]:
    """Returns the pages that are kept current."""
    found = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").glob("*.md"))]
    return [page for page in found if page.relative_to(ROOT).as_posix() not in HISTORY_PAGES]


def statements(node: ast.AST) -> Iterator[ast.stmt]:
    """Yields all statements within a node, at any depth; expressions are not searched."""
    for field in ("body", "orelse", "finalbody", "handlers", "cases"):
        for part in getattr(node, field, ()):
            if isinstance(part, ast.stmt):
                yield part
            yield from statements(part)


def targets(node: ast.stmt) -> Iterator[str]:
    """Yields the names and the attributes that a statement assigns."""
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
    """Yields the names that the statements of a module or class define or import."""
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
    """Returns a class's attributes: methods, fields, and what its methods assign to `self`."""
    attributes = set(top_level(node.body))
    for part in statements(node):
        attributes |= set(targets(part))
    bases = [base.id if isinstance(base, ast.Name) else "" for base in node.bases]
    bases += [base.attr for base in node.bases if isinstance(base, ast.Attribute)]
    return Class(attributes, bases)


@cache
def parsed(path: Path) -> ast.Module:
    """Returns a module's syntax tree, parsed once."""
    return ast.parse(path.read_text())


@cache
def tree() -> Tree:
    """Returns what the code of all folders defines, read once."""
    found = Tree({}, {}, set(), {})
    for folder in CODE_FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            relative = path.relative_to(ROOT)
            module = ".".join(relative.with_suffix("").parts).removesuffix(".__init__")
            found.modules[module] = set(top_level(parsed(path).body))
            found.names.update(found.modules[module])
            tests = found.tests.setdefault(relative.as_posix(), set())
            for node in statements(parsed(path)):
                if isinstance(node, ast.ClassDef):
                    found.classes.setdefault(node.name, []).append(read_class(node))
                elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                    found.names.add(node.name)
                    if node.name.startswith("test_"):
                        tests.add(node.name)
                else:
                    found.names.update(targets(node))
    return found


@cache
def files() -> tuple[set[str], set[str]]:
    """Returns the paths of all files and folders of the tree, and their bare names."""
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
    """Whether a path, or a bare file name, exists in the tree."""
    paths, names = files()
    if text in WRITTEN_FOLDERS:
        return True
    text = text.removeprefix("./").rstrip("/")
    if text in WRITTEN or ("/" not in text and text in names):
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
    """Whether the parts after a module's name are defined: a name there, or a class's attribute."""
    if not parts:
        return True
    if parts[0] not in defined:
        return False
    return len(parts) == 1 or class_has(parts[0], parts[1])


@cache
def code() -> str:
    """Returns the text of all code, without this file."""
    paths = [path for folder in CODE_FOLDERS for path in (ROOT / folder).rglob("*.py")]
    return "\n".join(path.read_text() for path in paths if path != Path(__file__).resolve())


@cache
def words() -> set[str]:
    """Returns all words of the code, including those in strings and comments."""
    return set(re.findall(r"\w+", code()))


def identifier_exists(text: str, strict: bool) -> bool:
    """Whether a name in backticks is defined.

    A plain lower-case word may be an operator's term, so it is checked only if it has parentheses,
    or an underscore on a strict page.
    """
    name = text.removesuffix("()")
    first, *rest = name.split(".")
    if name in OUTSIDE or first in OUTSIDE:
        return True
    if first in tree().classes:
        return not rest or class_has(first, rest[0])
    if re.fullmatch(r"[A-Z]\w+", first):
        return not rest and first in tree().names
    if rest:
        packages = {module.rpartition(".")[2] for module in tree().modules}
        return first not in packages or module_path_exists([first, *rest], strict)
    if strict and "_" in name:
        return name in words()
    return name == text or name in tree().names


def module_path_exists(parts: list[str], strict: bool) -> bool:
    """Whether `package.module.Name` without the leading `loomstand.` is defined.

    A dotted name that ends in a lower-case word may also be a key of a settings file or of a
    response, such as `store.epoch`: these are checked on strict pages only.
    """
    starts = [m for m in tree().modules if m.endswith("." + parts[0])]
    ends = [m.removesuffix(parts[0]) for m in starts]
    if any(dotted_exists(start + ".".join(parts)) for start in ends):
        return True
    if any(re.match(r"[A-Z]", part) for part in parts):
        return False
    return not strict or f'"{".".join(parts)}"' in code()


def test_exists(text: str, path: str | None) -> bool:
    """Whether a test has this name, in which `...` stands for omitted letters."""
    pattern = ".*".join(re.escape(part) for part in text.split("..."))
    tests = tree().tests
    if path is None:
        candidates = set().union(*tests.values())
    else:
        candidates = set().union(*(t for f, t in tests.items() if f.endswith("/" + path)))
    return any(re.fullmatch(pattern, name) for name in candidates)


test_exists.__test__ = False  # type: ignore[attr-defined]


def without_history(text: str) -> str:
    """Returns a page's text without the columns whose heading is in `HISTORY`."""
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


def is_known(name: str, page: Path, path_before: str | None) -> bool:
    """Whether a text in backticks is not a name, or is a name that the tree defines."""
    without_parameter = re.sub(r"\[.*\]$", "", name)
    if test := TEST.fullmatch(without_parameter):
        path = test["path"] or (path_before if "::" in name else None)
        return test_exists(test["name"], path and path.rpartition("/")[2])
    if PATH.fullmatch(name) or FOLDER.fullmatch(name):
        return path_exists(name, page)
    if name.startswith("loomstand.") and DOTTED.fullmatch(name):
        return dotted_exists(name)
    return not IDENTIFIER.fullmatch(name) or identifier_exists(name, page.name in STRICT)


def missing(page: Path, text: str) -> list[str]:
    """Returns the names of a page that the tree doesn't define, without repeats."""
    text = without_history(text)
    found: list[str] = []
    path_before: str | None = None
    for name in re.findall(r"`([^`\n]+)`", re.sub(r"^```.*?^```", "", text, flags=re.M | re.S)):
        if not is_known(name, page, path_before):
            found.append(name)
        if path := re.match(r"[\w./-]+\.py\b", name):
            path_before = path[0]
    found += [name for name in DOTTED.findall(text) if not dotted_exists(name)]
    found += [path for path in PAGE.findall(text) if not path_exists(path, page)]
    return [*dict.fromkeys(found)]


def anchors(page: Path) -> set[str]:
    """Returns the anchors of a page's headings, as code hosting sites generate them."""
    headings = re.findall(r"^#+ (.*)$", page.read_text(), flags=re.M)
    plain = [re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings]
    return {heading.strip().replace(" ", "-") for heading in plain}


def broken_links(page: Path) -> list[str]:
    """Returns the relative links of a page whose target doesn't exist."""
    broken = []
    for link in LINK.findall(page.read_text()):
        if re.match(r"\w+:", link):
            continue
        path, _, anchor = link.partition("#")
        target = (page.parent / path).resolve() if path else page
        if not target.exists() or (anchor and anchor not in anchors(target)):
            broken.append(link)
    return broken


@pytest.mark.parametrize("page", pages(), ids=lambda page: page.name)
def test_what_a_page_names_exists(page):
    assert missing(page, page.read_text()) == []


@pytest.mark.parametrize("page", pages(), ids=lambda page: page.name)
def test_relative_links_lead_somewhere(page):
    assert broken_links(page) == []


def test_undefined_names_are_found():
    """Checks the lookup with an undefined name of each kind."""
    undefined = [
        "loomstand.absent.nothing",
        "absent/nothing.py",
        "loomstand/absent/",
        "AbsentClass",
        "Replica.absent_method",
        "store.replica.AbsentClass",
        "ABSENT_CONSTANT",
        "absent_function()",
        "test_plain.py::test_absent",
        "docs/absent.md",
    ]
    page = ROOT / "docs" / "GLOSSARY.md"
    assert missing(page, " ".join(f"`{name}`" for name in undefined)) == undefined
    history = "| old name | now |\n| --- | --- |\n| `AbsentBefore` | `AbsentNow` |\n"
    assert missing(page, history) == ["AbsentNow"]


def test_pages_named_in_the_code_exist():
    """Checks the pages that comments and docstrings link to."""
    wrong = []
    for folder in ("loomstand", "benchmarks", "deploy", "examples", "tests"):
        for path in (ROOT / folder).rglob("*"):
            if path.suffix in {".py", ".toml", ".feature"} and path != Path(__file__).resolve():
                pages = PAGE.findall(path.read_text())
                wrong += [(path.name, page) for page in pages if not (ROOT / page).exists()]
    assert wrong == []


def test_imports_of_the_readme_work():
    """Runs the imports of the README's example, a program that embeds the limiter."""
    lines = re.findall(
        r"^    (from loomstand\S* import .*)$", (ROOT / "README.md").read_text(), re.M
    )
    assert len(lines) >= 2
    for line in lines:
        exec(line, {})


LOG_LINE = re.compile(r"`((?:store|registry|proxy|rpc): [^`]+?)(?: \w+=[^`]*)?`")


def test_log_lines_for_operators_are_written_by_the_code():
    """The code has the event of each `program: event key=value ...` in docs/on-call.md."""
    text = (ROOT / "docs" / "on-call.md").read_text()
    lines = [line.removesuffix(" ...").removesuffix(":") for line in LOG_LINE.findall(text)]
    assert lines
    assert [line for line in lines if f'"{line}' not in code()] == []


# --- the tables of ARCHITECTURE.md and GLOSSARY.md


def table(page: str, heading: str) -> list[list[str]]:
    """Returns the cells of the first table of a page whose heading row begins with `heading`."""
    lines = (ROOT / page).read_text().splitlines()
    start = next(n for n, line in enumerate(lines) if line.startswith(heading))
    rows = []
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        rows.append([cell.strip() for cell in line.strip("|").split("|")])
    return rows


@cache
def imported_packages(path: Path) -> set[str]:
    """Returns the packages of loomstand that a module imports, at any depth."""
    found = set()
    for node in statements(parsed(path)):
        names = []
        if isinstance(node, ast.ImportFrom) and node.module == "loomstand":
            names = [f"loomstand.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names = [node.module or ""]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        found |= {name.split(".")[1] for name in names if name.startswith("loomstand.")}
    return {name for name in found if (ROOT / "loomstand" / name).is_dir()}


def test_packages_import_only_what_the_architecture_allows():
    allowed: dict[str, set[str]] = {}
    for packages, _, _, may_import in table("docs/ARCHITECTURE.md", "| package | job |"):
        for package in re.findall(r"`(\w+)`", packages):
            allowed[package] = {package, *re.findall(r"`(\w+)`", may_import)}
    folders = {path.relative_to(ROOT).parts[1] for path in (ROOT / "loomstand").glob("*/**/*.py")}
    assert folders == set(allowed)
    wrong = []
    for package, names in allowed.items():
        for path in (ROOT / "loomstand" / package).rglob("*.py"):
            wrong += [(path.name, name) for name in imported_packages(path) - names]
    assert wrong == []


def test_no_program_imports_what_is_for_tests():
    programs = {"admission", "config", "failover", "limiter", "membership", "proxy", "registry"}
    for package in programs | {"rpc", "store"}:
        for path in (ROOT / "loomstand" / package).rglob("*.py"):
            assert not imported_packages(path) & {"testing", "simulation", "model_checker"}


def message(name: str) -> type[msgspec.Struct]:
    """Returns a message class by its name in the glossary."""
    module, _, class_name = name.partition(".")
    return getattr(importlib.import_module(f"loomstand.rpc.messages.{module}"), class_name)


def test_the_glossary_has_every_call_of_the_wire():
    rows = table("docs/GLOSSARY.md", "| call | from, to |")
    for call, _, request, _ in rows:
        assert message(request.strip("`")).operation == call
    requests = {request.strip("`").partition(".")[2] for _, _, request, _ in rows}
    defined = set()
    for path in (ROOT / "loomstand" / "rpc" / "messages").glob("*_messages.py"):
        defined |= set(tree().modules[f"loomstand.rpc.messages.{path.stem}"])
    assert {name for name in defined if name.endswith("Request")} - {"Request", "EmptyRequest"} == (
        requests
    )


@pytest.mark.parametrize("heading", ["| key of one letter |", "| longer key |"])
def test_the_glossary_has_the_keys_of_the_wire(heading):
    for key, fields, classes in table("docs/GLOSSARY.md", heading):
        groups = fields.split(";"), classes.split(";")
        assert len(groups[0]) == len(groups[1]), key
        for field, names in zip(*groups, strict=True):
            for name in re.findall(r"`([\w.]+)`", names):
                keys = {f.name: f.encode_name for f in msgspec.structs.fields(message(name))}
                assert keys[field.strip(" `")] == key, name


def test_every_key_of_one_letter_is_in_the_glossary():
    listed = {key for key, *_ in table("docs/GLOSSARY.md", "| key of one letter |")}
    found = set()
    for path in (ROOT / "loomstand" / "rpc" / "messages").glob("*.py"):
        found |= set(re.findall(r'name="(\w)"', path.read_text()))
    assert found == listed
