#!/bin/sh
# For small hosts. The second compiler's own memory is twice what a daemon needs otherwise, and it
# takes processor time just after a start, when callers wait for a host that came back. A small
# young generation and small stacks keep memory down that would only be touched, not used.
# What SEQUOIAPASS_JAVA_OPTIONS says comes last and holds.
exec java -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss256k -Xms16m -Xmn8m \
  ${SEQUOIAPASS_JAVA_OPTIONS:-} -jar "$0" "$@"
