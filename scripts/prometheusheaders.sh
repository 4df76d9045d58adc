#!/usr/bin/env bash
# Unpacks the headers of prometheus-cpp into FOLDER/prometheus. Its -dev package
# conflicts with that of ulfius, as the two need different curl headers, and so
# cannot be installed.
set -euo pipefail
FOLDER=$1
if [ ! -e "$FOLDER/prometheus/usr/include/prometheus/registry.h" ]; then
  mkdir -p "$FOLDER"
  chmod 755 "$FOLDER"
  (cd "$FOLDER" && { apt-get download -q prometheus-cpp-dev ||
    { apt-get update -q && apt-get download -q prometheus-cpp-dev; }; })
  dpkg-deb -x "$FOLDER"/prometheus-cpp-dev_*.deb "$FOLDER/prometheus"
fi
