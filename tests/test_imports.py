"""The modules have no import cycle, imports for type checking included."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent / "loomstand"


def import_graph() -> dict[str, set[str]]:
    """Returns the modules of the package that each of its modules imports at its top level."""
    files = {
        ".".join(p.relative_to(ROOT.parent).with_suffix("").parts): p for p in ROOT.rglob("*.py")
    }
    files = {name.removesuffix(".__init__"): path for name, path in files.items()}
    graph: dict[str, set[str]] = {}
    for name, path in files.items():
        imported: set[str] = set()
        body = ast.parse(path.read_text()).body
        top = [n for node in body for n in ([*node.body] if isinstance(node, ast.If) else [node])]
        for node in top:
            if (
                isinstance(node, ast.ImportFrom)
                and node.module
                and node.module.startswith("loomstand")
            ):
                full_names = [f"{node.module}.{a.name}" for a in node.names]
                imported |= {name if name in files else node.module for name in full_names}
            elif isinstance(node, ast.Import):
                imported |= {a.name for a in node.names if a.name in files}
        graph[name] = imported & files.keys()
    return graph


def find_cycle(graph: dict[str, set[str]]) -> list[str]:
    """Returns the modules of an import cycle, the first one repeated at the end; empty for none."""
    done: set[str] = set()

    def walk(name: str, path: list[str]) -> list[str]:
        if name in path:
            return [*path[path.index(name) :], name]
        if name not in done:
            for other in sorted(graph[name]):
                if found := walk(other, [*path, name]):
                    return found
            done.add(name)
        return []

    return next((found for name in sorted(graph) if (found := walk(name, []))), [])


def test_no_import_cycle():
    graph = import_graph()
    assert len(graph) > 40 and "loomstand.limiter.limiter" in graph["loomstand.limiter"]
    assert find_cycle(graph) == []


def test_an_import_cycle_is_found():
    assert find_cycle({"a": {"b"}, "b": {"c"}, "c": {"b"}}) == ["b", "c", "b"]
