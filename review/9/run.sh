#!/bin/sh
# Prompts that crash replicas, after a kill of all gateways: see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
# What was sent, answered and run goes to record.txt.
exec node review/9/case.mjs review/9/record.txt
