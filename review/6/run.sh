#!/bin/sh
# Bytes without end in the body of one stream: see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec node review/6/case.mjs
