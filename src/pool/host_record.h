#ifndef POOL_HOST_RECORD_H
#define POOL_HOST_RECORD_H

#include <glib.h>

#include "plan.h"

/*
 * Maintenance records: the state of hosts that the next planner needs, such as
 * the time of the last maintenance, the purpose of a stop and the home pool.
 * Each data centre has one document, "maintenance/<data centre>", in the
 * platform.
 *
 * Entries have no common clock, since the boot times of two hosts can't be
 * compared. Each document therefore has its own clock, in seconds, which the
 * planner advances while it plans. A planner that fails loses the time since
 * its last write, so the age of hosts is too low by at most the interval
 * between two writes.
 */
struct host_record {
	char host[CS_NAME_MAX];
	double maintained; /* time by the table's clock, may be negative */
	enum plan_purpose purpose;
	bool is_returning; /* only its return to service is left */
	char target[CS_NAME_MAX]; /* pool that it moves to */
	char home[CS_NAME_MAX]; /* home pool, "" if it is the present pool */
};

struct record_table {
	char data_centre[CS_NAME_MAX];
	uint64_t version; /* of the platform's row, 0: not yet written */
	double clock; /* in seconds, at the time updated */
	cs_time updated;
	GHashTable *by_host; /* host name -> struct host_record */
};

struct record_table *record_table_create(const char *data_centre, cs_time now);
void record_table_destroy(struct record_table *table);

/* Returns the table's clock at the time now, in seconds. */
double record_table_clock(const struct record_table *table, cs_time now);

/*
 * Returns the record of a host; adds it if there is none. The last maintenance
 * of a new host is set to a time within the period before now, by a hash of its
 * name, so that first maintenances are spread over the period. is_new may be
 * NULL.
 */
struct host_record *record_table_get(struct record_table *table,
				     const char *host, cs_time period,
				     cs_time now, bool *is_new);

/* Encodes the table as JSON, with the hosts sorted by name. */
GBytes *record_table_encode(const struct record_table *table, cs_time now);

/*
 * Replaces the table's clock and records by those of the document. If it is
 * malformed, returns CS_ERR_INVALID and leaves the table unchanged.
 */
int record_table_decode(struct record_table *table, GBytes *json, cs_time now,
			struct cs_error *err);

#endif
