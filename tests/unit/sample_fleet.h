#ifndef SAMPLE_FLEET_H
#define SAMPLE_FLEET_H

#include "unit.h"

#include "../../src/config/document.h"

/* Applies a change, which must succeed. */
void sample_apply(struct document *doc, struct change change);

/* Add rows to the document. Hosts are in the state "assigned". */
void sample_pool(struct document *doc, const char *name, bool is_spare,
		 int budget_percent);
void sample_host(struct document *doc, const char *name, const char *rack,
		 const char *data_centre, const char *pool);
void sample_worker(struct document *doc, const char *name, const char *host,
		   const char *address, int slots);
void sample_team(struct document *doc, const char *name, int share, int limit);

/*
 * Creates a valid document with the data centres a, b, ..., hosts in racks of
 * four, four workers of 8 slots on each host, teams with two keys each and one
 * queue for each pool.
 */
struct document *sample_fleet(int data_centres, int hosts, int pools,
			      int teams);

#endif
