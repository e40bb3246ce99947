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
# check_cppcheck FILE...: fails if there are findings.
check_cppcheck() {
    cppcheck --quiet --std=c11 --enable=warning,performance,portability --inline-suppr \
        --error-exitcode=1 -j "$(nproc)" -I src -D_GNU_SOURCE --library=gnu --library=posix \
        --suppress=missingInclude --suppress=normalCheckLevelMaxBranches "$@"
}
check_cppcheck "${sources[@]}" || status=1
# clang-tidy's own checks of va_list are off: they report functions that have none.
va_list_findings=$(check_cppcheck tests/lint/va_list_misuse.c 2>&1 | grep -c "^tests/.*error:")
if [ "$va_list_findings" -ne 4 ]; then
    echo "lint: cppcheck finds $va_list_findings of 4 misuses of a va_list"
    status=1
fi
[ $status -eq 0 ] && echo "lint: clean"
exit $status
