#!/usr/bin/env bash
# Exits with 1 if requests were handled by an older configuration too late, 0 if not, 2 if the case could not run. TROUBLE=0: no silence.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
