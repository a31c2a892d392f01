#!/bin/sh
# Checks the stand-ins of the script of case 6. They are Python with its standard library only and need no build.
cd "$(dirname "$0")" || exit 2
exec python3 - standins-2/*.py 6/*.py <<'P'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
P
