#ifndef BATCH_BATCH_H
#define BATCH_BATCH_H

#include "../site/site.h"

/*
 * A batch: a job of steps, each a number of equal tasks, which run on the
 * backend servers of one pool. The aggregate holds what the job needs and how
 * far it has come, and keeps the rules of one job: order of steps, at most one
 * run of a task, bounded attempts, final states. It knows no server, no clock
 * and no encoding.
 */

/* 16 hexadecimal digits and a NUL. */
#define BATCH_ID_MAX 17
/* "ID.OCCURRENCE.STEP.INDEX" with the final NUL. */
#define BATCH_TASK_NAME_MAX 64
/* Limits on what a caller may ask for; a request beyond them is invalid. */
#define BATCH_STEPS_MAX 64
#define BATCH_TASKS_MAX 10000
#define BATCH_PAYLOAD_MAX 4000

struct batch_step {
	int count; /* tasks */
	struct site_room need; /* of one task */
	int64_t estimate_ms; /* the caller's guess of one task's time */
	int64_t expected_ms; /* ours; the caller's until it is set */
	int *after; /* steps that must be done first */
	int after_nr;
	bool is_checkpointing;
	bool is_gang; /* tasks run only together */
	bool needs_one_rack; /* slower when spread over racks */
	bool may_copy; /* copies of a task may run side by side */
	bool is_lasting; /* runs until the job is cancelled */
	bool is_filling; /* uses only what others leave unused */
	int per_server_max; /* tasks on one server; 0: no bound */
	int unavailable_max; /* stopped by us at once; -1: no bound */
	int64_t tail_target_ms; /* of a serving task; 0: none */
	char label[CS_NAME_MAX]; /* that the server must have, or "" */
	char rack[CS_NAME_MAX]; /* where its data is, or "" */
	char image[CS_NAME_MAX]; /* tasks of one image behave alike */
};

/* What a caller asks for. */
struct batch_spec {
	char *payload; /* handed to every task */
	struct batch_step *steps;
	int steps_nr;
	int repeats; /* 0: once, at once */
	int64_t start_unix_ms; /* of the first occurrence */
	int64_t interval_ms;
};

enum batch_state {
	BATCH_QUEUED, /* no task has started */
	BATCH_RUNNING,
	BATCH_DONE,
	BATCH_FAILED,
	BATCH_CANCELLED
};

/* How a run of a task ended. */
enum batch_end {
	BATCH_END_DONE,
	BATCH_END_FAILED, /* by its own fault or the server's */
	BATCH_END_STOPPED, /* by our order */
	BATCH_END_LAPSED, /* its lease ran out */
	BATCH_END_BROKEN, /* another member of its gang ended */
	BATCH_END_ALONE, /* the others of its gang did not come in time */
	BATCH_END_LOST /* its server is gone, and the run with it */
};

enum batch_task_state {
	BATCH_TASK_WAITING,
	BATCH_TASK_RUNNING,
	BATCH_TASK_DONE
};

struct batch_task {
	uint8_t state; /* enum batch_task_state */
	uint16_t failures; /* runs in failed_runs */
	uint32_t *failed_runs; /* ends that count against the attempts */
	uint32_t run; /* highest number of a run that is known */
	uint32_t ended_run; /* highest number of a run that has ended */
	cs_handle run_row; /* the scheduler's row while it runs */
	cs_time ready_since; /* when it could first start; 0: not yet */
	cs_time not_before; /* pause after a failure */
	cs_handle avoid; /* server of the last failed run */
	char *checkpoint; /* NULL: none */
};

/* One occurrence of the steps. */
struct batch_round {
	struct batch_task *tasks; /* NULL until due, and once done */
	int *left; /* tasks that are not done, for each step */
	int steps_left;
	bool is_done;
};

struct batch {
	char id[BATCH_ID_MAX];
	char queue[CS_NAME_MAX];
	char workspace[CS_NAME_MAX]; /* "" on an open queue without a key */
	int64_t submitted_unix_ms;
	struct batch_spec *spec;
	int round_tasks; /* tasks of one occurrence */
	int *offsets; /* index of each step's first task */
	struct batch_round *rounds;
	int rounds_nr;
	int rounds_done;
	enum batch_state state;
	bool has_begun; /* a task may have been ordered to start */
	int running; /* tasks in state running */
	uint32_t version; /* rises with each change worth storing */
};

struct batch_spec *batch_spec_create(int steps_nr);
void batch_spec_destroy(struct batch_spec *spec);
/*
 * Checks what the caller asks for: counts, limits, and an order of the steps
 * without a circle. CS_ERR_INVALID with the reason in err.
 */
int batch_spec_check(const struct batch_spec *spec, struct cs_error *err);

/* True for 16 hexadecimal digits. */
bool batch_id_is_valid(const char *id);

/* Takes over spec, which must have passed the check. */
struct batch *batch_create(const char *id, const char *queue,
			   const char *workspace, int64_t submitted_unix_ms,
			   struct batch_spec *spec);
void batch_destroy(struct batch *b);
/*
 * A batch of which only the identifier and the final state are kept, for
 * callers that ask for it again. It has no steps.
 */
struct batch *batch_create_ended(const char *id, enum batch_state state);

/* The due time of an occurrence, or 0 for "at once". */
int64_t batch_due_unix_ms(const struct batch *b, int round);

/* Makes the tasks of an occurrence. No effect if they are there or done. */
void batch_open_round(struct batch *b, int round);

/* The task, or NULL if its occurrence is not open or the place is wrong. */
struct batch_task *batch_task(struct batch *b, int round, int step, int index);

/* True if all earlier steps of the occurrence are done. */
bool batch_step_is_ready(const struct batch *b, int round, int step);

/* Tasks of a step that wait; its occurrence must be open. */
int batch_waiting(struct batch *b, int round, int step);

/* True for done, failed and cancelled. */
bool batch_is_final(const struct batch *b);

/*
 * Notes that tasks are about to be started, so that the progress is stored
 * first. No effect if it was noted before.
 */
void batch_begin(struct batch *b);

/* Notes a start under a run number that is higher than all before. */
void batch_task_started(struct batch *b, struct batch_task *t, uint32_t run);

/* Adds a run to those that failed. False if it was there. */
bool batch_task_add_failure(struct batch_task *t, uint32_t run);

/*
 * Notes the end of a run. An end that was counted before, or of a task that
 * is done, changes nothing. Ends may come in any order. saved may be NULL or
 * "". A failed end counts against attempts_max unless the step is lasting;
 * beyond it the batch has failed. Returns true if the batch's stored progress
 * changed.
 */
bool batch_task_ended(struct batch *b, int round, int step,
		      struct batch_task *t, uint32_t run, enum batch_end how,
		      const char *saved, int attempts_max);

/* Ends the batch unless it is final already. Returns true if it did. */
bool batch_cancel(struct batch *b);

/* Sets how long one task of a step is expected to take. */
void batch_expect(struct batch *b, int step, int64_t ms);

/*
 * Milliseconds of the longest chain of steps in an occurrence by the expected
 * times: of those that are not done, or of all.
 */
int64_t batch_chain_ms(const struct batch *b, int round, bool is_whole);

/* Writes "ID.OCCURRENCE.STEP.INDEX", and reads it. */
void batch_task_name(const struct batch *b, int round, int step, int index,
		     char out[BATCH_TASK_NAME_MAX]);
int batch_task_name_parse(const char *name, char id[BATCH_ID_MAX], int *round,
			  int *step, int *index);

/* "queued", "running", "done", "failed", "cancelled". */
const char *batch_state_name(enum batch_state state);
const char *batch_end_name(enum batch_end how);

#endif
