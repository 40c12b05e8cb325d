#!/bin/sh
exec java -XX:-UsePerfData -XX:+UseSerialGC ${SEQUOIAPASS_JAVA_OPTIONS:-} -jar "$0" "$@"
