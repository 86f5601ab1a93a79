"""Runs behave once per feature file, and counts scenarios by slice.

A slice is a folder with features and steps. Scenarios are counted in the JSON reports
of behave.
"""

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / ".results"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
RED_PREFIX = "test: "
FEATURE_TIMEOUT_S = 400


class SliceResult:
    """The scenarios of one slice or feature by outcome, and the output of behave."""

    __slots__ = ("name", "passed", "failed", "output", "crashed")

    def __init__(self, name, passed, failed, output, crashed):
        self.name = name
        self.passed = passed
        self.failed = failed
        self.output = output
        self.crashed = crashed

    def add(self, other):
        """Add the results of another feature of the same slice."""
        self.passed += other.passed
        self.failed += other.failed
        self.crashed = self.crashed or other.crashed
        if other.failed or other.crashed:
            self.output += other.output


def list_slices():
    """Return every folder that has features and steps."""
    folders = list(ROOT.glob("stoatpath/*/features")) + list(ROOT.glob("features/*"))
    return sorted(path for path in folders if (path / "steps").is_dir())


def list_features(slices):
    """Return the feature files of slices."""
    return [feature for path in slices for feature in sorted(path.glob("*.feature"))]


def run_feature(path):
    """Run behave on one feature file and return its results."""
    name = path.parent.relative_to(ROOT).as_posix()
    report = RESULTS / f"{name.replace('/', '.')}.{path.stem}.json"
    report.unlink(missing_ok=True)
    command = [sys.executable, "-m", "behave", "--no-color", "--no-timings"]
    command += ["--format", "json", "--outfile", str(report)]
    command += ["--format", "progress3", str(path)]
    environment = {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONHASHSEED": "0"}
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=FEATURE_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired as error:
        return SliceResult(name, [], [], f"timed out: {error}", True)
    return _read_report(name, report, done)


def _read_report(name, report, done):
    output = done.stdout + done.stderr
    try:
        features = json.loads(report.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return SliceResult(name, [], [], output, True)
    passed = []
    failed = []
    for feature in features:
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            scenarios = passed if element.get("status") == "passed" else failed
            scenarios.append(f"{name}: {element['name'].strip()}")
    crashed = done.returncode != 0 and not failed
    return SliceResult(name, passed, failed, output, crashed)


def read_known_failures():
    """Return the scenarios that are listed as known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(RED_PREFIX).strip()
        for line in lines
        if line.startswith(RED_PREFIX)
    }


def main():
    """Run the slices named on the command line, or all; return the exit code."""
    RESULTS.mkdir(exist_ok=True)
    wanted = sys.argv[1:]
    slices = [
        path
        for path in list_slices()
        if not wanted or any(word in path.as_posix() for word in wanted)
    ]
    known_red = read_known_failures()
    results_by_slice = {}
    with ThreadPoolExecutor(max_workers=os.cpu_count()) as pool:
        for result in pool.map(run_feature, list_features(slices)):
            known = results_by_slice.setdefault(result.name, result)
            if known is not result:
                known.add(result)
    passed = failed = 0
    for result in results_by_slice.values():
        red = [name for name in result.failed if name in known_red]
        new = [name for name in result.failed if name not in known_red]
        passed += len(result.passed)
        failed += len(new) + result.crashed
        print(f"{result.name}: {len(result.passed)} passed, {len(new)} failed")
        if new or result.crashed:
            print(result.output)
        for name in red:
            print(f"known red: {name}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
