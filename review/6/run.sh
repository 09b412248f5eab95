#!/bin/sh
# Bytes without end in the body of one stream: see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
# What was sent, answered and run goes to record.txt.
exec node review/6/case.mjs review/6/record.txt
