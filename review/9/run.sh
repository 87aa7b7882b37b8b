#!/usr/bin/env bash
# Exits with 1 if QUOTA was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 no client
# leaves.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/stand2 leaving-clients review/9
