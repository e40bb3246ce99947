#!/usr/bin/env bash
# clang-format (check only), clang-tidy and cppcheck over the product's code.
cd "$(dirname "$0")/.." || exit 1
status=0
mapfile -t formatted < <(git ls-files 'src/*.c' 'src/*.h' 'platform/*.c' 'tests/*.cc' 'tests/*.h')
mapfile -t sources < <(git ls-files 'src/*.c' 'platform/*.c')
clang-format --dry-run --Werror "${formatted[@]}" || status=1
# One file a process, so that no report can depend on the files read before.
printf '%s\n' "${sources[@]}" |
    xargs -P "$(nproc)" -n 1 clang-tidy -p "$BUILD" --quiet \
    --extra-arg=-Wno-unused-command-line-argument 2> /dev/null || status=1
cppcheck --quiet --std=c11 --enable=warning,performance,portability --inline-suppr \
    --error-exitcode=1 -j "$(nproc)" -I src -D_GNU_SOURCE --library=gnu --library=posix \
    --suppress=missingInclude --suppress=normalCheckLevelMaxBranches \
    "${sources[@]}" || status=1
[ $status -eq 0 ] && echo "lint: clean"
exit $status
