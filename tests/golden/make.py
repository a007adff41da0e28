"""Makes the fixtures beside this file: `python -m tests.golden.make`, from the root.

They were made once, by the code as it was before the great renames, and hold what the programs
sent, wrote and answered then. They aren't made again to get a pass: where a test against them
fails, the programs behave otherwise than before, and may not understand programs or disks of
before. Only a change of behaviour that is meant, and has its entry in the change log, is a reason
to make them anew.

The files in `store-folder` are compacted copies that lmdb made of what the code wrote. The folder
`older` has no pages of orders and of the learner's copy, as programs of before those wrote none.
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
        "records": {name: pages.hexed(record.pages()) for name, record in pages.records().items()},
        "steps": pages.steps(), "others": pages.hexed(pages.other_pages()),
    }  # fmt: skip


def main() -> None:
    stores, town = runs.stores_run(), runs.town_run()
    save("stores", stores)
    save("town", town)
    save("older", runs.older_run())
    save("outside", runs.outside_run())
    save("frames", pages.frames())
    save("pages", page_fixture())
    with tempfile.TemporaryDirectory() as work:
        wrong = {
            "configurations": {
                name: {"input": runs.BAD_CONFIGURATIONS[name], "error": error}
                for name, error in runs.configuration_errors(runs.BAD_CONFIGURATIONS).items()
            },
            "settings": {
                name: {"input": runs.BAD_SETTINGS[name], "error": error}
                for name, error in runs.settings_errors(runs.BAD_SETTINGS, Path(work)).items()
            },
        }
        save("errors", wrong)
        shutil.rmtree(FOLDERS, ignore_errors=True)
        disks = town["disks"]
        duty = next(d for d in disks.values() if "duty" in d and "copy" not in d)
        copy = next(d for d in disks.values() if "copy" in d and "duty" not in d)
        older = pages.unhexed({n: p for n, p in copy.items() if n not in ("orders", "copy")})
        for name, held in (("primary", duty), ("third", copy)):
            pages.write_folder(pages.unhexed(held), FOLDERS / name, Path(work) / name)
        pages.write_folder(older, FOLDERS / "older", Path(work) / "older")


if __name__ == "__main__":
    main()
