"""Writes the fixtures of tests/test_golden_programs.py: `python -m tests.golden.make`, in the root.

The fixtures hold the messages, pages and responses of the code before its identifiers were renamed.
Don't write them again to make a failing test pass: the failure means that the programs behave
differently, and may be incompatible with older programs or disks. The only reason to write them
again is an intended change of behaviour that has an entry in the change log.

The folders in `store-folder` are compacted copies, made by lmdb, of the databases that the code
wrote. The folder `older` lacks the pages of the change history and of the learner's copy, which
older programs did not write.
"""

from __future__ import annotations

import json
import shutil
import tempfile
from pathlib import Path
from typing import Any

from tests.golden import pages, runs

HERE = Path(__file__).parent
FOLDERS = HERE / "store-folder"


def save(name: str, value: Any) -> None:
    text = json.dumps(value, indent=1, ensure_ascii=True) + "\n"
    (HERE / f"{name}.json").write_text(text, encoding="ascii")


def load(name: str) -> Any:
    return json.loads((HERE / f"{name}.json").read_text(encoding="ascii"))


def page_fixture() -> dict[str, Any]:
    return {
        "records": {name: pages.to_hex(record.pages()) for name, record in pages.records().items()},
        "steps": pages.steps(), "others": pages.to_hex(pages.other_pages()),
    }  # fmt: skip


def main() -> None:
    stores, cluster = runs.stores_run(), runs.cluster_run()
    save("stores", stores)
    save("town", cluster)
    save("older", runs.older_run())
    save("outside", runs.operator_call_run())
    save("frames", pages.frames())
    save("pages", page_fixture())
    with tempfile.TemporaryDirectory() as work:
        errors = {
            "configurations": {
                name: {"input": runs.INVALID_CONFIGURATIONS[name], "error": error}
                for name, error in runs.configuration_errors(runs.INVALID_CONFIGURATIONS).items()
            },
            "settings": {
                name: {"input": runs.INVALID_SETTINGS[name], "error": error}
                for name, error in runs.settings_errors(runs.INVALID_SETTINGS, Path(work)).items()
            },
        }
        save("errors", errors)
        shutil.rmtree(FOLDERS, ignore_errors=True)
        disks = cluster["disks"]
        primary = next(d for d in disks.values() if "duty" in d and "copy" not in d)
        third = next(d for d in disks.values() if "copy" in d and "duty" not in d)
        older = pages.from_hex({n: p for n, p in third.items() if n not in ("orders", "copy")})
        for name, disk in (("primary", primary), ("third", third)):
            pages.write_folder(pages.from_hex(disk), FOLDERS / name, Path(work) / name)
        pages.write_folder(older, FOLDERS / "older", Path(work) / "older")


if __name__ == "__main__":
    main()
