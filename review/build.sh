#!/bin/sh
# The scripts' stand-ins are plain modules for Node and need no build; this checks that Node can read them.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do
    node --check "$file"
done
