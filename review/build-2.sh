#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: they are Python sources without dependencies,
# so this checks that they compile with the machine's python3. Run it after the deploy
# file's build.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/rudderpass || { echo "run the deploy file's build first" >&2; exit 1; }
for file in review/standins_2.py review/runner_2.py review/[4-8]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'PY'
import sys
path = sys.argv[1]
with open(path, encoding="utf-8") as source:
    compile(source.read(), path, "exec")
PY
done
