#!/bin/sh
# Builds the stand-ins that the cases start; all are Python, so this compiles
# them and checks that they import with the libraries of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import importlib
import pathlib
import sys

for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
for name in ('case', 'cell', 'proxy', 'record', 'store', 'web', 'worker'):
    importlib.import_module(f'review.{name}')
sys.stdout.write('stand-ins built\n')
END
