#!/usr/bin/env bash
# Exits with 1 if a client got part of a server's answer as a whole one, 0 if not, 2 if the case could not run. TROUBLE=0: no connection is reset.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
