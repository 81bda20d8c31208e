"""No module imports another that, in the end, imports it: neither at run time nor for its types."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parents[2]


def module_name(path: Path) -> str:
    """The dotted name of a file below the repository's root."""
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def imported_names(path: Path) -> Iterator[tuple[str, str | None]]:
    """Each import of a file, in functions and for types as well: the module, and the name taken from it."""
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            yield from ((alias.name, None) for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            yield from ((node.module, alias.name) for alias in node.names)


def import_graph(package: str) -> dict[str, set[str]]:
    """The modules of a package, each with the modules of the package that it imports."""
    files = {module_name(path): path for path in sorted((ROOT / package).rglob("*.py"))}
    graph: dict[str, set[str]] = {name: set() for name in files}
    for name, path in files.items():
        for module, taken in imported_names(path):
            submodule = f"{module}.{taken}"
            graph[name].add(submodule if submodule in files else module)
        graph[name] &= files.keys() - {name}
    return graph


def test_no_module_imports_itself_by_way_of_others() -> None:
    try:
        TopologicalSorter(import_graph("irisdeal")).prepare()
    except CycleError as error:
        raise AssertionError(f"import cycle: {' <- '.join(error.args[1])}") from None


def test_a_cycle_would_be_found() -> None:
    graph = import_graph("irisdeal")
    graph["irisdeal.runtime.errors"].add("irisdeal.registry.server")
    try:
        TopologicalSorter(graph).prepare()
    except CycleError:
        return
    raise AssertionError("runtime.errors is imported by registry.server, but no cycle was found")
