#!/usr/bin/env python3
"""Replaces #pragma once in each header with an LLVM-style include guard."""
import pathlib
import re

for path in pathlib.Path(".").rglob("*.h"):
    if path.parts[0].startswith((".", "build")):
        continue
    text = path.read_text()
    if "#pragma once" not in text:
        continue
    parts = path.parts[1:] if path.parts[0] == "packages" else path.parts
    guard = "CYCLAMENWALK_" + re.sub(r"\W", "_", "_".join(parts)).upper()
    text = text.replace("#pragma once", f"#ifndef {guard}\n#define {guard}", 1)
    path.write_text(text.rstrip("\n") + f"\n\n#endif // {guard}\n")
