#!/bin/sh
# A replica leaves as the store forgets its history: see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
# What was sent, answered and run goes to record.txt.
exec node review/8/case.mjs review/8/record.txt
