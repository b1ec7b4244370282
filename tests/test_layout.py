"""Packages and top-level modules import only those of lower layers."""

import ast
import pathlib
import subprocess
import sys
import typing as t

from tests.base import TestCase

SOURCE = pathlib.Path(__file__).parents[1] / "src" / "bankrack"
LAYERS = (
    ("clock", "exceptions", "logs"),
    ("utils",),
    ("background", "decisions", "loadlog", "metrics", "tables"),
    ("settings", "wire"),
    ("control", "serving"),
    ("placement",),
    ("fleet", "scheduling"),
    ("generations",),
    ("front", "nodestate"),
    ("integration",),
    ("gateway", "node", "operator", "standins"),
    ("demo", "lab"),
    ("cli",),
    ("__init__", "__main__"),
)
"""Packages and top-level modules, lowest first; those of a layer are independent."""


def _level(part: str) -> int:
    return next(level for level, parts in enumerate(LAYERS) if part in parts)


def _part(module: str) -> str:
    """Return the package or top-level module that contains a module."""
    names = module.split(".")
    return names[1] if len(names) > 1 else "__init__"


def _imports(tree: ast.Module) -> t.Iterator[str]:
    """Yield the modules of bankrack that a module imports at runtime."""
    for node in tree.body:
        match node:
            case ast.ImportFrom(module="bankrack", names=names):
                yield from (f"bankrack.{alias.name}" for alias in names)
            case ast.ImportFrom(module=str(name)) if name.startswith("bankrack."):
                yield name


class TestLayers(TestCase):
    def test_modules_import_only_lower_layers(self):
        wrong = []
        for path in SOURCE.rglob("*.py"):
            relative = path.relative_to(SOURCE)
            part = relative.with_suffix("").parts[0]
            for module in _imports(ast.parse(path.read_text(encoding="utf-8"))):
                needed = _part(module)
                if needed != part and _level(needed) >= _level(part):
                    wrong.append(f"{relative} imports {module}")
        self.assertEqual([], wrong)

    def test_gateway_does_not_import_node_modules(self):
        code = "import sys, bankrack.gateway; print(*sys.modules)"
        found = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        loaded = {_part(m) for m in found.stdout.split() if m.startswith("bankrack.")}
        apart = {"control", "generations", "node", "operator", "scheduling"}
        self.assertEqual(set(), loaded & apart)
