#!/usr/bin/env python3
"""Checks that each line of models/mapping.txt names an existing model and an
existing chart transition, and that each chart in MAPPED_CHARTS is mapped."""
import pathlib
import sys
import xml.etree.ElementTree as ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCXML = "{http://www.w3.org/2005/07/scxml}"
MAPPED_CHARTS = {"task", "credit", "execution", "claim", "request", "apply",
                 "configuration", "backend", "process", "job",
                 "evacuation", "forwardedjob", "ownedjob", "run", "session", "stoppingrun"}


def transitions(chart):
    found = set()
    for state in ElementTree.parse(chart).getroot():
        for transition in state.findall(SCXML + "transition"):
            found.add((chart.stem, state.get("id"), transition.get("event")))
    return found


chart_transitions = set()
for chart in (ROOT / "packages").glob("*/charts/*.scxml"):
    chart_transitions |= transitions(chart)
failures = []
mapped_charts = set()
for number, line in enumerate(
        (ROOT / "models/mapping.txt").read_text().splitlines(), 1):
    if not line.strip() or line.startswith("#"):
        continue
    step, target = line.split(" = ")
    model = step.split()[0]
    transition = tuple(target.split())
    mapped_charts.add(transition[0])
    if not (ROOT / f"models/{model}.pml").exists():
        failures.append(f"mapping.txt:{number}: no model {model}")
    if transition not in chart_transitions:
        failures.append(f"mapping.txt:{number}: no transition {target}")
for chart in sorted(MAPPED_CHARTS - mapped_charts):
    failures.append(f"mapping.txt: chart {chart} is not mapped")
print("\n".join(failures) or
      f"models: {len(chart_transitions)} chart transitions read, ok")
sys.exit(bool(failures))
