#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the
# disruption out. Run it after the build of the deploy file and review/build.sh.
folder=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=2 115 "target/review/case_$folder" "review/$folder"
status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
