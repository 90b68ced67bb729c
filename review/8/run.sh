#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] || exit 2  # review/build-2.sh comes first
timeout -k 5 115 java -Xmx128m -cp target/review-2 review2.UnframedAnswers \
  "$PWD" "$PWD/review/8/record.txt" "${TROUBLE:-1}"
code=$?
[ $code -le 1 ] && exit $code
exit 2
