#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file.
# They are Python and use its libraries alone: this checks that all of them
# compile and import.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.
python3 -m compileall -q review/parts_2 review/4 review/5 review/6 review/7 review/8
python3 -c 'import review.parts_2.case, review.parts_2.cell, review.parts_2.traffic'
