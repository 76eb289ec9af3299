#!/usr/bin/env bash
# A machine is stopped while two clients download. See claim.txt.
# TROUBLE=0: without the SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin downloads review/3/record.txt
