#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the product: their stand-ins are Python and need no build, so this only
# checks that they compile. The product itself is built by the line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib

for path in [*pathlib.Path("review").glob("*.py"), *pathlib.Path("review").glob("[4-6]/*.py"), *pathlib.Path("standin/fleet").glob("*.py")]:
    compile(path.read_text(), str(path), "exec")
CHECK
