#!/bin/sh
# Build what the scripts of this review start beside the programs of the deploy file.
# The stand-ins are plain Python of the standard library (`review/rig.py` and the scripts
# themselves), so that there is only to check that they can be read.
set -eu
cd "$(dirname "$0")"
for file in rig.py [4-8]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
