#!/usr/bin/env python3
"""Checks that models/mapping.txt names transitions which the charts have, and
that each lifecycle of a model's promise is mapped."""
import pathlib
import sys
import xml.etree.ElementTree as ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCXML = "{http://www.w3.org/2005/07/scxml}"
MAPPED_CHARTS = {"task", "credit", "execution", "claim", "request", "apply",
                 "configuration", "backend", "process", "job"}


def transitions(chart):
    found = set()
    for state in ElementTree.parse(chart).getroot():
        for step in state.findall(SCXML + "transition"):
            found.add((chart.stem, state.get("id"), step.get("event")))
    return found


charts = {}
for chart in (ROOT / "packages").glob("*/charts/*.scxml"):
    charts.update(dict.fromkeys(transitions(chart)))
failures = []
mapped = set()
for number, line in enumerate(
        (ROOT / "models/mapping.txt").read_text().splitlines(), 1):
    if not line.strip() or line.startswith("#"):
        continue
    left, right = line.split(" = ")
    model = left.split()[0]
    place = tuple(right.split())
    mapped.add(place[0])
    if not (ROOT / f"models/{model}.pml").exists():
        failures.append(f"mapping.txt:{number}: no model {model}")
    if place not in charts:
        failures.append(f"mapping.txt:{number}: no transition {right}")
for chart in sorted(MAPPED_CHARTS - mapped):
    failures.append(f"mapping.txt: chart {chart} is not mapped")
print("\n".join(failures) or f"models: {len(charts)} transitions known, ok")
sys.exit(bool(failures))
