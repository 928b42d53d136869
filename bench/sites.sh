#!/usr/bin/env bash
# Plays our own sites, other customers' terms in deploy/sites, by the operators' bench of the whole fleet. Never part of CI: it needs the kit.
#
#     bench/sites.sh KIT [ARGUMENT ...]     # for each site: KIT/more/mass/bin/lbreal score SITE ARGUMENT ...
#
# ARGUMENTs are the bench's own, as --quick, or --panel brink --seed 3, and --why with a sentence. The companions that the bench wants beside a
# site are the kit's: they are laid there for the time of the play and taken away again, and git ignores them. The exit code is 1 if a site
# did not end with `GATE passed`, 2 if the kit is missing.
set -uo pipefail
kit=${1:-}
if [ -z "$kit" ] || [ ! -x "$kit/more/mass/bin/lbreal" ]; then
    echo "sites.sh: no kit at '${kit}': its folder, with more/mass/bin/lbreal, is the first argument" >&2
    exit 2
fi
kit=$(cd "$kit" && pwd)
shift
cd "$(dirname "$0")/.." || exit 2
sites=deploy/sites
companions=(real.json wire.json unlock.txt)
for name in "${companions[@]}"; do
    if ! cp "$kit/sites/$name" "$sites/$name"; then
        echo "sites.sh: the kit has no sites/$name" >&2
        exit 2
    fi
    chmod u+w "$sites/$name"
done
trap 'for name in "${companions[@]}"; do rm -f "$sites/$name"; done' EXIT
failed=0
for site in "$sites"/*.toml; do
    echo "== $site"
    if ! "$kit/more/mass/bin/lbreal" score "$site" "$@" 2>&1 | tee /dev/stderr | grep "^GATE passed" >/dev/null; then
        failed=1
    fi
done
exit "$failed"
