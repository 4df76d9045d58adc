#!/usr/bin/env python3
"""Checks the architecture rules that docs/DESIGN.md describes."""
import pathlib
import re
import subprocess
import sys

DECISION_PACKAGES = ["core", "statechart", "message", "policy", "job",
                     "request", "slot", "membership", "configuration", "batch",
                     "evacuation", "reload", "budget",
                     "worker", "store", "forward"]
FORBIDDEN_HEADERS = re.compile(
    r'#include [<"](msgpack|nng/|ulfius|nlohmann|ini\.h|pugixml|http/|'
    r'protocol/|settings/|json/|curl)')
# Only the chart interpreter may use an XML library.
HEADER_EXCEPTIONS = {"packages/statechart/internal/chart.cpp"}
RAW_TIME = re.compile(
    r"\b(u?int(8|16|32|64)?(_t)?|std::u?int\d+_t|long|double|float|unsigned)"
    r"\s+\w*(Ms|Millis|Milliseconds|Seconds|Secs|Nanos|Micros|Timeout|"
    r"Deadline|Interval|Period|Delay)\b\s*[,)]")
SLEEP = re.compile(r"sleep_for|sleep_until|usleep|nanosleep|this_thread::yield")
MAX_FILE_LINES = 560

failures = []


def tracked(*patterns):
    files = subprocess.run(["git", "ls-files", "-co", "--exclude-standard",
                            "--", *patterns], capture_output=True, text=True,
                           check=True).stdout.split()
    return [path for path in files if pathlib.Path(path).exists()]


def lines(path):
    return pathlib.Path(path).read_text(errors="replace").splitlines()


def is_test(path):
    return "/tests/" in path or path.startswith("tests/")


def fail(path, number, text):
    failures.append(f"{path}:{number}: {text}")


def check_lines(paths, pattern, text, exceptions=()):
    for path in paths:
        if path in exceptions:
            continue
        for number, line in enumerate(lines(path), 1):
            if pattern.search(line):
                fail(path, number, text + ": " + line.strip())


def check_charts():
    """Checks that some code loads each chart."""
    code = "".join(pathlib.Path(p).read_text() for p in tracked("*.cpp"))
    for chart in tracked("*.scxml"):
        name = pathlib.Path(chart).stem
        if f'chart("{name}")' not in code:
            fail(chart, 1, "no code loads this chart")


def check_installed():
    text = "".join(pathlib.Path(p).read_text()
                   for p in tracked("*CMakeLists.txt"))
    targets = re.findall(r"install\(TARGETS ([^)]*?) RUNTIME", text)
    if targets != ["cyclamenwalk cyclamenwalk-agent"]:
        fail("CMakeLists.txt", 1, f"installed programs are {targets}, "
             "expected cyclamenwalk and cyclamenwalk-agent")


def print_test_share(sources):
    tests = sum(len(lines(p)) for p in sources if is_test(p))
    total = sum(len(lines(p)) for p in sources)
    print(f"tests are {tests} of {total} lines ({tests / total:.0%})")


sources = tracked("*.h", "*.cpp")
product = [p for p in sources if p.startswith(("packages/", "apps/", "platform/"))
           and not is_test(p)]
decisions = [p for p in product
             if p.startswith("packages/")
             and p.split("/")[1] in DECISION_PACKAGES]
check_lines(decisions, FORBIDDEN_HEADERS,
            "forbidden include in a decision package", HEADER_EXCEPTIONS)
check_lines(product, RAW_TIME, "time parameter without a std::chrono type")
check_lines(product, SLEEP, "call that sleeps or yields")
check_charts()
check_installed()
print_test_share(sources)
for path in sources:
    if len(lines(path)) > MAX_FILE_LINES:
        fail(path, 1, f"{len(lines(path))} lines, limit {MAX_FILE_LINES}")
if failures:
    print("\n".join(failures))
    sys.exit(1)
print("shape: ok")
