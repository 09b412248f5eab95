#!/bin/sh
# Prompts that crash replicas, after a kill of all gateways: see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec node review/9/case.mjs
