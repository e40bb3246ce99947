#!/usr/bin/env bash
# Installs the Debian packages of packages.txt that are missing.
set -eu
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    case $package in '' | '#'*) continue ;; esac
    dpkg-query -W -f='${Status}' "$package" 2> /dev/null | grep -q 'ok installed' ||
        missing+=("$package")
done < packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0
command -v apt-get > /dev/null || {
    echo "setup: these Debian packages are missing and there is no apt-get: ${missing[*]}" >&2
    exit 1
}
as_root=()
if [ "$(id -u)" -ne 0 ]; then
    command -v sudo > /dev/null || {
        echo "setup: installing ${missing[*]} needs root or sudo" >&2
        exit 1
    }
    as_root=(sudo)
fi
echo "setup: installing ${missing[*]}"
${as_root[@]+"${as_root[@]}"} apt-get update -qq
DEBIAN_FRONTEND=noninteractive ${as_root[@]+"${as_root[@]}"} \
    apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
