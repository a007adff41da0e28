"""Writes the fixtures `wire-*.json` of tests/test_golden_wire.py from the current code.

Run it by hand, and only after an intended change of behaviour: `python tests/golden/make_wire.py`.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parent.parent)]

import test_golden_wire as golden  # noqa: E402


def main() -> None:
    session = golden.bench_input()
    golden.save("wire-bench.json", {"input": session, "output": golden.bench_output(session)})
    for name, make in golden.FIXTURES.items():
        golden.save(name, make())
    for path in sorted(HERE.glob("wire-*.json")):
        print(path.name, path.stat().st_size, len(json.loads(path.read_text())))


if __name__ == "__main__":
    main()
