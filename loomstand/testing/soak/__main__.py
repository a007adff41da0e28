"""`python -m loomstand.testing.soak --seeds 1-50`: runs seeds of the soak test, prints faults."""

from __future__ import annotations

import argparse
import os
import sys
import time
from pathlib import Path

from loomstand.testing.soak.loopback import claim_network
from loomstand.testing.soak.run import SoakOptions, run_seed


def seeds(text: str) -> range:
    """Parses a range of seeds such as `1-50`, or a single seed such as `7`."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> None:
    """Runs the seeds one after the other; exits with 1 if there were faults."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=seeds, default=range(1, 2), metavar="FIRST-LAST")
    parser.add_argument(
        "--seconds",
        type=float,
        default=12.0,
        help="duration of the disturbances of each seed, in seconds",
    )
    parser.add_argument("--proxies", type=int, default=4)
    parser.add_argument(
        "--keep", type=Path, help="folder for settings, logs and disks of each seed"
    )
    arguments = parser.parse_args()
    failed = []
    for seed in arguments.seeds:
        began = time.monotonic()
        folder = arguments.keep / str(seed) if arguments.keep else None
        with claim_network(os.getpid() + seed) as network:
            options = SoakOptions(seed, arguments.seconds, arguments.proxies, network, folder)
            report = run_seed(options)
        print(f"{report.summary()}; {time.monotonic() - began:.0f} s", flush=True)
        for fault in report.faults:
            print(f"  {fault}", flush=True)
        if report.faults:
            failed.append(seed)
    print(f"{len(arguments.seeds)} seeds, {len(failed)} with faults: {failed}")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
