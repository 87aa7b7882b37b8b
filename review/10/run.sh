#!/usr/bin/env bash
# Exits with 1 if UNASKED was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# changes of the configuration.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/stand2 key-passed-on review/10
