"""The packages' imports form no circle, those for types alone included."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent / "loomstand"


def modules() -> dict[str, set[str]]:
    """Each module of the program, with those of it that it imports at its top level."""
    files = {
        ".".join(p.relative_to(ROOT.parent).with_suffix("").parts): p for p in ROOT.rglob("*.py")
    }
    files = {name.removesuffix(".__init__"): path for name, path in files.items()}
    out: dict[str, set[str]] = {}
    for name, path in files.items():
        found: set[str] = set()
        body = ast.parse(path.read_text()).body
        top = [n for node in body for n in ([*node.body] if isinstance(node, ast.If) else [node])]
        for node in top:
            if (
                isinstance(node, ast.ImportFrom)
                and node.module
                and node.module.startswith("loomstand")
            ):
                whole = [f"{node.module}.{a.name}" for a in node.names]
                found |= {w if w in files else node.module for w in whole}
            elif isinstance(node, ast.Import):
                found |= {a.name for a in node.names if a.name in files}
        out[name] = found & files.keys()
    return out


def circle(graph: dict[str, set[str]]) -> list[str]:
    """A circle of imports, or none."""
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


def test_no_import_circle():
    graph = modules()
    assert len(graph) > 40 and "loomstand.limiter.limiter" in graph["loomstand.limiter"]
    assert circle(graph) == []


def test_a_circle_is_found():
    assert circle({"a": {"b"}, "b": {"c"}, "c": {"b"}}) == ["b", "c", "b"]
