#!/usr/bin/env bash
# TROUBLE=0: the same without answers that are sent twice.
exec "$(dirname "$0")/../standin/run_case.sh" surplus_refusal "$(dirname "$0")" 7
