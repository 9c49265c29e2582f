#!/usr/bin/env bash
# Builds what the scripts start beside the build of the deploy file: nothing. Their stand-ins are
# review/lib/standins.py, which needs Python 3 and its standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, sys; [ast.parse(open(it, encoding="utf-8").read(), it) for it in sys.argv[1:]]' lib/standins.py [1-9]/case.py
