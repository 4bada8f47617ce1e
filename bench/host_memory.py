"""Measure the memory of a host process after its imports, by group of imports.

Each group is imported in a process of its own after those before it; the smallest of
several runs counts. Run with ``PYTHONPATH=src python bench/host_memory.py``.
"""

from __future__ import annotations

import subprocess
import sys

RUNS = 5
GROUPS = (
    ("interpreter", "pass"),
    ("json, logging, ssl, http.client", "import json, logging, ssl, http.client"),
    ("click", "import click"),
    ("tomllib", "import tomllib"),
    ("msgspec, orjson, xxhash, thrift", "import msgspec, orjson, xxhash, thrift"),
    ("eliot", "import eliot"),
    ("waitress", "import waitress"),
    ("rudderpass.exchange", "import rudderpass.exchange"),
    ("rudderpass.gossip", "import rudderpass.gossip"),
    ("rudderpass.host", "import rudderpass.host"),
    ("rudderpass.host._command", "import rudderpass.host._command"),
    ("prometheus_client, at a scrape", "import prometheus_client"),
)
READ = """
import resource
status = open("/proc/self/status").read().split("VmRSS:")[1]
print(status.split()[0], resource.getrusage(resource.RUSAGE_SELF).ru_utime)
"""


def measure(code: str) -> tuple[float, float]:
    """Return the lowest memory in MB and user time in seconds of several runs."""
    runs = [
        subprocess.run(
            [sys.executable, "-c", code + READ],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        for _ in range(RUNS)
    ]
    return min(int(run[0]) for run in runs) / 1024, min(float(run[1]) for run in runs)


def main() -> None:
    """Print a table."""
    done, before = "", 0.0
    for name, code in GROUPS:
        done += code + "\n"
        memory, seconds = measure(done)
        print(f"{name:34} {memory:6.2f} MB  {memory - before:+6.2f}  {seconds:.3f} s")
        before = memory


if __name__ == "__main__":
    main()
