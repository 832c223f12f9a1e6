#!/usr/bin/env bash
# Plays the case; see claim.txt.
exec "$(dirname "$0")/../run-2.sh" waiting "$(dirname "$0")"
