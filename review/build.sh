#!/bin/sh
# Builds the stand-ins of the review's scripts; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp target/sequoiapass.jar review/standin/*.java
