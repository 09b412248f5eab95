#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the gateway. Their stand-ins
# are plain modules, so there is nothing to bundle: they are only checked here.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
