#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 6 to 10 start. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/stand-ins-2/*.java
