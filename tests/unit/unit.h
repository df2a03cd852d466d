#ifndef UNIT_H
#define UNIT_H

/* cmocka.h needs the first four. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#endif
