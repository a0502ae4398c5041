#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case.sh" late-watch "$(dirname "$0")"
