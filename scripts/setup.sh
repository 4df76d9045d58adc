#!/usr/bin/env bash
# Installs the Debian packages that the build needs and unpacks the headers of
# prometheus-cpp, whose -dev package conflicts with that of ulfius.
set -euo pipefail
cd "$(dirname "$0")/.."

PACKAGES=(g++ cmake make clang-format clang-tidy pkg-config spin python3
  libulfius-dev libmicrohttpd-dev libprometheus-cpp-core1.0 libnng-dev libspdlog-dev
  libboost-program-options-dev librapidcheck-dev libgtest-dev libgmock-dev
  libbenchmark-dev libpugixml-dev libinih-dev libmsgpack-cxx-dev
  nlohmann-json3-dev libxxhash-dev curl)

missing=()
for package in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
fi

scripts/prometheusheaders.sh .cache
