#!/usr/bin/env bash
exec "$(dirname "$0")/../standins/run-case.sh" half-answer "$(dirname "$0")"
