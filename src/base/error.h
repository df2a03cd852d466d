#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include "../camphorshed.h"

/*
 * Fills err, if it is not NULL, and returns code, so that a caller can write
 * "return cs_error_set(...)". step and peer may be NULL.
 */
int cs_error_set(struct cs_error *err, int code, const char *step,
		 const char *peer, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/* The name of a code, as in logs: "conflict", "timeout". Never NULL. */
const char *cs_code_name(int code);

/* Copies at most size - 1 bytes and always terminates dst. */
void cs_copy(char *dst, size_t size, const char *src);

#endif
