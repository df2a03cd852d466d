#include "error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void cs_copy(char *dst, size_t size, const char *src)
{
	size_t len;

	if (!size)
		return;
	len = src ? strnlen(src, size - 1) : 0;
	if (len)
		memcpy(dst, src, len);
	dst[len] = '\0';
}

int cs_error_set(struct cs_error *err, int code, const char *step,
		 const char *peer, const char *fmt, ...)
{
	va_list args;

	if (!err)
		return code;
	err->code = code;
	cs_copy(err->step, sizeof(err->step), step);
	cs_copy(err->peer, sizeof(err->peer), peer);
	va_start(args, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, args);
	va_end(args);
	return code;
}

const char *cs_code_name(int code)
{
	static const char *const names[] = {
		"ok",	    "no_memory", "invalid", "missing",
		"conflict", "full",	 "limit",   "denied",
		"io",	    "timeout",	 "stale",   "too_large",
	};
	size_t i = code <= 0 ? (size_t)-code : sizeof(names);

	return i < sizeof(names) / sizeof(names[0]) ? names[i] : "unknown";
}
