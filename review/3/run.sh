#!/usr/bin/env bash
# The test of this case; see claim.txt. TROUBLE=0: the same without the disruption.
exec "$(dirname "$0")/../run_case.sh" 3
