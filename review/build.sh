#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; after the build of the deploy file, without a network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p target/classes
javac -Xlint:all -d target/classes stand-ins/*.java
