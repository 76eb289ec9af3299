#!/usr/bin/env bash
# A machine is stopped while clients send orders on connections that they keep. See claim.txt.
# TROUBLE=0: without the SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin long-orders review/1/record.txt
