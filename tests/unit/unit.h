#ifndef UNIT_H
#define UNIT_H

/* cmocka.h needs the first four. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

/*
 * Rounds of a random test: sanitizers slow it down about tenfold, so their
 * builds run the fewer ones and the rel build runs all.
 */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define UNIT_ROUNDS(all, fewer) (fewer)
#else
#define UNIT_ROUNDS(all, fewer) (all)
#endif

#endif
