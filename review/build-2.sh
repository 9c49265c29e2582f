#!/usr/bin/env bash
# The scripts of review/6 and later start rattandockd, which the build of the deploy file makes, and
# stand-ins in Python (review/tools-2/world.py), which need no build. This only checks them.
cd "$(dirname "$0")/.." || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
[ -x target/src/rattandockd/rattandockd ] || { echo "run the build of deploy/system.toml first"; exit 2; }
python3 -B -c 'import ast, pathlib
for path in sorted(pathlib.Path("review").glob("[0-9]*/case.py")) + [pathlib.Path("review/tools-2/world.py")]:
    ast.parse(path.read_text(), str(path))'
