#ifndef POOL_PLANNER_STATE_H
#define POOL_PLANNER_STATE_H

#include "../entry/part.h"
#include "host_record.h"
#include "plan.h"

/* The state of the planner part, shared by its files and private to them. */

/* What the planner's round waits for. */
enum planner_state {
	PLANNER_IDLE, /* this entry does not plan */
	PLANNER_READING, /* the maintenance records */
	PLANNER_READY,
	PLANNER_RECORDING, /* the purposes of the steps to come */
	PLANNER_CHANGING /* the fleet document */
};

/* A host as seen from round to round. */
struct host_observation {
	enum host_state state;
	cs_time since;
	bool was_absent, is_rebooted; /* while empty */
	cs_time backoff_until;
};

/* Load of a host of this data centre, over its workers. */
struct host_load {
	int running;
	bool is_idle; /* every worker */
	bool is_failed; /* any worker, now or lately */
	cs_time failed_at; /* 0: never */
};

/* The list of failed hosts of this data centre, "down/<data centre>". */
struct down_report {
	bool is_current; /* version and text are those of the platform */
	bool is_call_pending; /* for the answer to a call */
	cs_time called_at;
	uint64_t version;
	char *stored_text; /* as written last */
	char *sent_text; /* as being written */
};

struct planner {
	enum planner_state state;
	cs_time since; /* of the state */
	uint64_t epoch; /* answers to calls of an earlier one are dropped */
	cs_time planning_paused_until; /* nothing is planned before */
	uint64_t min_revision; /* nothing is planned on an older document */
	const char *idle_reason; /* why this entry does not plan */
	int pending_calls; /* answers that the state waits for */
	GHashTable *records; /* data centre -> struct record_table */
	GHashTable *dirty_records; /* data centres whose records must be written
				    */
	cs_time records_written; /* last write of all records */
	struct plan_pace pace;
	GHashTable *history; /* pool -> struct pool_history */
	GHashTable *seen; /* host -> struct host_observation */
	GHashTable *remote_down; /* hosts that other data centres report */
	cs_time remote_down_read;
	GHashTable *loads; /* host -> struct host_load */
	struct down_report report;
	bool is_emptying; /* a change of on_round's local duty is under way */
	struct plan *plan;
	GArray *changes; /* struct change, to be sent after the records */
	uint64_t planned_revision; /* revision that the changes were planned on
				    */
	char *last_plan; /* the last plan, as JSON */
};

/* kv_call tokens: the planner's epoch, and what the call is for. */
enum planner_call { CALL_RECORDS, CALL_DOWN, CALL_REPORT, CALL_NR };

#define RECORD_PREFIX "maintenance/"
#define DOWN_PREFIX "down/"

struct msg *planner_call(struct part_ctx *ctx, enum planner_call kind,
			 enum kv_op op, const char *key);

/* The tables for one decision. Free with planner_input_clear(). */
void planner_input_gather(struct part_ctx *ctx, struct plan_input *in);
/* Keeps what is remembered of pools. */
void planner_input_save(struct part_ctx *ctx, const struct plan_input *in);
void planner_input_clear(struct plan_input *in);

/* The record of a host of the document. */
struct host_record *planner_host_record(struct part_ctx *ctx,
					const struct doc_host *host);

/* Brings loads up to date from the fleet part. */
void down_report_update_loads(struct part_ctx *ctx);
/* Writes the report if it changed. */
void down_report_send(struct part_ctx *ctx);
void down_report_on_kv(struct part_ctx *ctx, const struct kv_done *done);
/* Takes what all data centres report. */
void down_report_read_others(struct part_ctx *ctx, const struct kv_done *done);

/* The plan as a JSON text, which the caller frees. */
char *planner_render(const struct part_ctx *ctx);

#endif
