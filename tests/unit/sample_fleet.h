#ifndef SAMPLE_FLEET_H
#define SAMPLE_FLEET_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "../../src/config/document.h"

/* Applies one change and asserts that it is taken. */
void sample_apply(struct document *doc, struct change change);

/*
 * A valid document: data centres a, b, ... of one region's making, hosts
 * spread over racks of four, four workers of 8 slots on each host, teams with
 * two keys each and one queue per pool.
 */
struct document *sample_fleet(int data_centres, int hosts, int pools,
			      int teams);

#endif
