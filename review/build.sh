#!/bin/sh
# The stand-ins are plain modules that Node.js runs as they are. This only checks
# that each can be parsed, and that the program which the cases start was built.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
test -f ../target/figfall.cjs
