// Each function misuses its va_list; scripts/lint.sh expects a finding in each.
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
static void missing_end(const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    vprintf(format, arguments);
}
static void missing_end_on_one_path(bool early, const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    if (early)
        return;
    vprintf(format, arguments);
    va_end(arguments);
}
static void copy_not_ended(const char *format, ...) {
    va_list arguments, copy;
    va_start(arguments, format);
    va_copy(copy, arguments);
    vprintf(format, copy);
    va_end(arguments);
}
static void self_copy(const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    va_copy(arguments, arguments);
    va_end(arguments);
}
