#ifndef TEAM_SHARE_TABLE_H
#define TEAM_SHARE_TABLE_H

#include <glib.h>

#include "../base/slots.h"
#include "../camphorshed.h"

/*
 * The state behind share.h: one row for each team in each pool, a heap of
 * waiting rows for each pool, and what other entries and data centres have
 * reported. No messages here.
 *
 * Slot time decays with a half-life. Instead of shrinking all values, new
 * time is counted at a weight that grows, so that the order of rows that
 * nothing happens to stays as it is and the heap need not be rebuilt.
 */

/* What one other entry or data centre reported for a row. */
struct share_report {
	int queued, running;
	double usage; /* weighted ms */
	cs_time time; /* when it was reported or sent */
};

struct share_row {
	struct share_pool *pool;
	char team[CS_NAME_MAX];
	double weight; /* the team's share */
	int queued, running;
	bool is_blocked;
	double usage; /* weighted ms of this entry, up to last */
	cs_time updated;
	double remote_usage; /* weighted ms of all others */
	double task_ms; /* mean length of a task */
	size_t heap_pos; /* in the heap, or SHARE_NOT_QUEUED */
	cs_handle handle;
	struct share_report sent[2]; /* last sent; by enum share_scope */
};

#define SHARE_NOT_QUEUED ((size_t)-1)

/* Demand is reported every 2 s; this is three times as long. */
#define SHARE_REPORT_EXPIRY (6 * CS_SEC)

/* Who a summary speaks for. */
enum share_scope { SCOPE_ENTRY, SCOPE_DATA_CENTRE };

struct share_pool {
	char name[CS_NAME_MAX];
	struct share_row **heap;
	size_t heap_nr, heap_alloc;
	GPtrArray *rows;
	int quota; /* slots this entry may fill, -1: all */
};

/* Reports of one other entry, or of one other data centre as a whole. */
struct share_source {
	char name[CS_NAME_MAX];
	bool is_data_centre;
	GHashTable *rows; /* &row->self -> struct share_report */
};

struct share_table {
	struct slots *rows;
	GHashTable *pools; /* name -> struct share_pool */
	GHashTable *sources; /* name -> struct share_source */
	cs_time epoch; /* time at which the weight is one */
};

/* Returns false if out of memory. */
bool share_table_init(struct share_table *table);
void share_table_clear(struct share_table *table);

struct share_pool *share_table_find_pool(const struct share_table *table,
					 const char *pool);
struct share_row *share_table_find_row(const struct share_table *table,
				       const char *pool, const char *team);
/* Makes the row if there is none; NULL if the table is full. */
struct share_row *share_table_get_or_add_row(struct share_table *table,
					     const char *pool, const char *team,
					     double weight, cs_time now);
void share_table_remove_row(struct share_table *table, struct share_row *row);

/* Weight at which time is counted at now. */
double share_table_scale(const struct share_table *table, cs_time now);

/* Counts the slot time since the last call and puts the row in its place. */
void share_row_update(struct share_table *table, struct share_row *row,
		      cs_time now);

/* Slots in use by the row's team fleet-wide, as a decayed mean. */
double share_row_average_slots(const struct share_table *table,
			       const struct share_row *row, cs_time now);

struct share_source *share_table_get_or_add_source(struct share_table *table,
						   const char *name,
						   bool is_data_centre);
/* Forgets what a source reported. */
void share_table_clear_demand(struct share_table *table, const char *name);
/* Takes one row of a report; usage_ms is decayed to now. */
void share_source_set_report(struct share_table *table,
			     struct share_source *source, struct share_row *row,
			     int queued, int running, int64_t usage_ms,
			     cs_time now);
/*
 * What the source reported last; all zero if nothing. Demand that was not
 * reported for SHARE_REPORT_EXPIRY no longer counts: its end can be lost with
 * the entry that reported it.
 */
struct share_report share_source_get_report(const struct share_source *source,
					    const struct share_row *row,
					    cs_time now);

/* Brings the weight back to one before it grows too large for a double. */
void share_table_rescale(struct share_table *table, cs_time now);

#endif
