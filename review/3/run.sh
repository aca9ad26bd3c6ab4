#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 118 java -Xmx256m -XX:+UseSerialGC -cp target/review CaseHugeArray review/3/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
