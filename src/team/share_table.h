#ifndef TEAM_SHARE_TABLE_H
#define TEAM_SHARE_TABLE_H

#include <glib.h>

#include "../base/slots.h"
#include "../camphorshed.h"

/*
 * The tables behind share.h: a row for each team in each pool, a heap of the
 * waiting rows of each pool, and the reports of other entries and data centres.
 * This file handles no messages.
 *
 * Slot time decays with a half-life. Instead of decaying all stored values, new
 * slot time is multiplied by a scale that grows exponentially. The order of
 * rows without changes stays the same, so the heaps need not be rebuilt.
 */

/* Demand and usage of a row, as reported by one entry or data centre. */
struct share_report {
	int queued, running;
	double usage; /* scaled ms */
	cs_time time; /* when it was received or sent */
};

struct share_row {
	struct share_pool *pool;
	char team[CS_NAME_MAX];
	double weight; /* the team's share */
	int queued, running;
	bool is_blocked;
	double usage; /* scaled ms of this entry, until updated */
	cs_time updated;
	double remote_usage; /* scaled ms, sum of all reports */
	double task_ms; /* mean length of a task */
	size_t heap_pos; /* SHARE_NOT_QUEUED: not in the heap */
	cs_handle self;
	struct share_report sent[2]; /* last sent, by enum share_scope */
};

#define SHARE_NOT_QUEUED ((size_t)-1)

/* Three times the interval of 2 s at which unchanged demand is reported. */
#define SHARE_REPORT_EXPIRY (6 * CS_SEC)

/* The sender's part of the fleet that a summary covers. */
enum share_scope { SCOPE_ENTRY, SCOPE_DATA_CENTRE };

struct share_pool {
	char name[CS_NAME_MAX];
	struct share_row **heap;
	size_t heap_nr, heap_alloc;
	GPtrArray *rows;
	int quota; /* slots that this entry may use, -1: all */
};

/* The reports of another entry, or of another data centre as a whole. */
struct share_source {
	char name[CS_NAME_MAX];
	bool is_data_centre;
	GHashTable *rows; /* &row->self -> struct share_report */
};

struct share_table {
	struct slots *rows;
	GHashTable *pools; /* name -> struct share_pool */
	GHashTable *sources; /* name -> struct share_source */
	cs_time scale_start; /* time at which the scale is 1 */
};

/* Returns false if there is not enough memory. */
bool share_table_init(struct share_table *table);
void share_table_clear(struct share_table *table);

struct share_pool *share_table_find_pool(const struct share_table *table,
					 const char *pool);
struct share_row *share_table_find_row(const struct share_table *table,
				       const char *pool, const char *team);
/* Sets the row's weight. Returns NULL if the table is full. */
struct share_row *share_table_find_or_add_row(struct share_table *table,
					      const char *pool,
					      const char *team, double weight,
					      cs_time now);
void share_table_remove_row(struct share_table *table, struct share_row *row);

/* The factor by which slot time used at now is multiplied. */
double share_table_scale(const struct share_table *table, cs_time now);

/*
 * Adds the slot time since the last update and updates the row's position in
 * the heap.
 */
void share_row_update(struct share_table *table, struct share_row *row,
		      cs_time now);

/* Decayed mean of the slots in use by the row's team, fleet-wide. */
double share_row_average_slots(const struct share_table *table,
			       const struct share_row *row, cs_time now);

struct share_source *share_table_find_or_add_source(struct share_table *table,
						    const char *name,
						    bool is_data_centre);
/* Clears the demand that a source reported. Its usage stays and decays. */
void share_table_clear_demand(struct share_table *table, const char *name);
/* Stores one row of a report. usage_ms is decayed to the time now. */
void share_source_set_report(struct share_table *table,
			     struct share_source *source, struct share_row *row,
			     int queued, int running, int64_t usage_ms,
			     cs_time now);
/*
 * The last report of the source for the row, all zero if there is none. Demand
 * expires after SHARE_REPORT_EXPIRY, since a failed entry can't report that its
 * demand ended.
 */
struct share_report share_source_get_report(const struct share_source *source,
					    const struct share_row *row,
					    cs_time now);

/* Resets the scale to 1 before it grows too large for a double. */
void share_table_rescale(struct share_table *table, cs_time now);

#endif
