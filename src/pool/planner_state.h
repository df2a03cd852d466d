#ifndef POOL_PLANNER_STATE_H
#define POOL_PLANNER_STATE_H

#include "../entry/part.h"
#include "host_record.h"
#include "plan.h"

/* State of the planner part. Private to the files of this folder. */

enum planner_state {
	PLANNER_IDLE, /* this entry does not plan */
	PLANNER_READING, /* waits for records and reports of failed hosts */
	PLANNER_READY, /* plans in the next round */
	PLANNER_RECORDING, /* waits until the records are written */
	PLANNER_CHANGING /* waits for the change of the fleet document */
};

/* What the planner observed of a host in its rounds. */
struct host_observation {
	enum host_state state;
	cs_time since; /* when the state was first seen */
	bool was_absent, is_rebooted; /* while empty */
	cs_time backoff_until;
};

/* Load of a host of this data centre, summed over its workers. */
struct host_load {
	int running;
	bool is_idle; /* all workers are idle */
	bool is_failed; /* a worker failed within REPORT_HOLD */
	cs_time failed_at; /* 0: never */
};

/* The list of failed hosts of this data centre, "down/<data centre>". */
struct down_report {
	bool is_current; /* version and stored_text match the platform */
	bool is_call_pending;
	cs_time called_at; /* time of the last call */
	uint64_t version;
	char *stored_text; /* JSON as last written */
	char *sent_text; /* JSON of the write under way */
};

struct planner {
	enum planner_state state;
	cs_time since; /* time of the last change of state */
	uint64_t epoch; /* replies to calls of earlier epochs are ignored */
	cs_time planning_paused_until;
	uint64_t min_revision; /* no planning on an older document */
	const char *idle_reason; /* why this entry does not plan */
	int pending_calls; /* replies that the state waits for */
	GHashTable *records; /* data centre -> struct record_table */
	GHashTable *dirty_records; /* data centres whose records to write */
	cs_time records_written; /* last write of all records */
	struct plan_pace pace;
	GHashTable *history; /* pool -> struct pool_history */
	GHashTable *observations; /* host -> struct host_observation */
	GHashTable *remote_down; /* hosts that other data centres report */
	cs_time remote_down_read;
	GHashTable *loads; /* host -> struct host_load */
	struct down_report report;
	bool is_emptying; /* a change of mark_idle_hosts_empty() is under way */
	struct plan *plan;
	GArray *changes; /* struct change, sent after the records */
	uint64_t planned_revision; /* document revision of the changes */
	char *last_plan; /* as JSON */
};

/* kv_call tokens combine the planner's epoch and the purpose of the call. */
enum planner_call {
	CALL_RECORDS,
	CALL_OTHER_REPORTS,
	CALL_OWN_REPORT,
	CALL_NR
};

#define RECORD_PREFIX "maintenance/"
#define DOWN_PREFIX "down/"

/* Makes a call of the platform whose reply belongs to the present epoch. */
struct msg *planner_new_call(struct part_ctx *ctx, enum planner_call kind,
			     enum kv_op op, const char *key);

/* Fills the input of plan_decide(). Free it with planner_input_clear(). */
void planner_input_gather(struct part_ctx *ctx, struct plan_input *in);
/* Saves the histories and the pace that plan_decide() updated. */
void planner_input_save(struct part_ctx *ctx, const struct plan_input *in);
void planner_input_clear(struct plan_input *in);

/* Returns the record of a host of the document; adds it if there is none. */
struct host_record *planner_host_record(struct part_ctx *ctx,
					const struct doc_host *host);

/* Updates loads from the fleet part. */
void down_report_update_loads(struct part_ctx *ctx);
/* Writes this data centre's report if it changed; reads it first if needed. */
void down_report_send(struct part_ctx *ctx);
void down_report_on_kv(struct part_ctx *ctx, const struct kv_done *done);
/* Takes the failed hosts from the reports of the other data centres. */
void down_report_read_others(struct part_ctx *ctx, const struct kv_done *done);

/* Returns the plan as JSON, to be freed with g_free(). */
char *planner_render(const struct part_ctx *ctx);

#endif
