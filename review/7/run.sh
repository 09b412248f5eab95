#!/bin/sh
# The store turns away the machines that read it for the others: see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec node review/7/case.mjs
