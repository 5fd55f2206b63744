#!/usr/bin/env bash
# Plays what owner-at-work.txt tells; it is no case.
exec "$(dirname "$0")/../run-case.sh" OwnerAtWork "$(dirname "$0")"
