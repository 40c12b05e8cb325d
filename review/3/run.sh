#!/bin/sh
# Plays the case that claim.txt describes; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/sequoiapass.jar ] || [ ! -f target/review/Daemons.class ]; then
  echo "could not run: it is not built"
  exit 2
fi
exec java -cp target/review:target/sequoiapass.jar ForeignEntry review/3 NAME 1
