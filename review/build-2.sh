#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
rm -rf target
mkdir target
javac -encoding UTF-8 -d target ./*.java
