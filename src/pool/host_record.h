#ifndef POOL_HOST_RECORD_H
#define POOL_HOST_RECORD_H

#include <glib.h>

#include "plan.h"

/*
 * What the planner must know of hosts after it was replaced: when each was
 * maintained last, why it is stopped and where it comes from. There is one
 * document for each data centre, "maintenance/<data centre>" in the platform.
 *
 * Entries have no common clock: the boot times of two hosts can't be
 * compared. Each document therefore carries its own clock, in seconds, which
 * the planner moves on while it plans. What a planner that fails did not
 * write is lost: hosts then seem younger than they are, by at most the
 * interval between two writes.
 */
struct host_record {
	char host[CS_NAME_MAX];
	double maintained; /* by the document's clock, may be negative */
	enum plan_purpose purpose;
	bool is_returning; /* all is done but to put it in service */
	char target[CS_NAME_MAX]; /* pool, of a move */
	char home[CS_NAME_MAX]; /* pool, "" if it is the present one */
};

struct record_table {
	char data_centre[CS_NAME_MAX];
	uint64_t version; /* of the platform's row, 0: not written yet */
	double clock; /* at time counted */
	cs_time updated;
	GHashTable *by_host; /* host name -> struct host_record */
};

struct record_table *record_table_create(const char *data_centre, cs_time now);
void record_table_destroy(struct record_table *table);

/* The table's clock at now, in seconds. */
double record_table_clock(const struct record_table *table, cs_time now);

/*
 * The row of a host. A host that is new gets a time of last maintenance
 * within the period before now, by its name, so that the first round of
 * maintenance is spread over the period as well. is_new may be NULL.
 */
struct host_record *record_table_get(struct record_table *table,
				     const char *host, cs_time period,
				     cs_time now, bool *is_new);

/* JSON of the table, hosts in order of names. */
GBytes *record_table_encode(const struct record_table *table, cs_time now);

/*
 * Replaces the rows by those of the document. CS_ERR_INVALID, and the table
 * is as before, if it is malformed.
 */
int record_table_decode(struct record_table *table, GBytes *json, cs_time now,
			struct cs_error *err);

#endif
