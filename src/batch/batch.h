#ifndef BATCH_BATCH_H
#define BATCH_BATCH_H

#include "../site/site.h"

/*
 * A batch: a job of steps, each with a number of equal tasks, which run on the
 * backend servers of one pool. The aggregate holds the job's specification and
 * its progress, and keeps the rules of one job: order of steps, at most one run
 * of a task at a time, limited attempts, final states. It knows no server, no
 * clock and no encoding.
 */

/* 16 hexadecimal digits and a NUL. */
#define BATCH_ID_MAX 17
/* "ID.OCCURRENCE.STEP.INDEX" with the final NUL. */
#define BATCH_TASK_NAME_MAX 64
/* Later due times would not fit into microseconds. */
#define BATCH_DUE_MAX_MS (INT64_MAX / 4 / CS_MSEC)
/* Limits of a specification; one that exceeds them is invalid. */
#define BATCH_STEPS_MAX 64
#define BATCH_TASKS_MAX 10000
#define BATCH_PAYLOAD_MAX 4000
/* Rows of tasks are allocated in blocks of this many neighbours, or fewer. */
#define BATCH_BLOCK_TASKS 64
/* Bytes of one checkpoint; the platform states no limit. */
#define BATCH_CHECKPOINT_MAX 65536

struct batch_step {
	int count; /* tasks */
	struct site_resources need; /* of one task */
	int64_t estimate_ms; /* the caller's estimate of one task's duration */
	int64_t expected_ms; /* the scheduler's; estimate_ms until it is set */
	int *after; /* steps that must be done first */
	int after_nr;
	bool is_checkpointing; /* tasks save checkpoints */
	bool is_gang; /* tasks run only together */
	bool prefers_same_rack; /* slower when spread over racks */
	bool allows_speculation; /* several copies of a task may run at once */
	bool is_long_running; /* runs until the job is cancelled */
	bool is_best_effort; /* uses only resources that others leave unused */
	int per_server_max; /* tasks on one server; 0: no limit */
	int unavailable_max; /* tasks stopped at the same time; -1: no limit */
	int64_t tail_target_ms; /* tail latency of a service; 0: none */
	/* Names of less than SITE_NAME_MAX bytes; NULL: none. */
	char *label; /* that the server must have */
	char *rack; /* where its data is */
	char *image; /* tasks of one image behave alike */
};

/* The specification of a job, as its caller submits it. */
struct batch_spec {
	char *payload; /* passed to every task */
	struct batch_step *steps;
	int steps_nr;
	int repeats; /* number of occurrences; 0: one */
	int64_t start_unix_ms; /* of the first occurrence; 0: at once */
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
	BATCH_END_FAILED, /* by an error of the task or the server */
	BATCH_END_STOPPED, /* by an order of the scheduler */
	BATCH_END_LAPSED, /* its lease expired */
	BATCH_END_BROKEN, /* another member of its gang ended */
	BATCH_END_ALONE, /* other members of its gang did not start in time */
	BATCH_END_LOST /* its server is gone */
};

enum batch_task_state {
	BATCH_TASK_WAITING,
	BATCH_TASK_RUNNING,
	BATCH_TASK_DONE
};

/*
 * A task that has begun, or may have. One that only waits has no row: it reads
 * as a row of zeros, see batch_find_task().
 */
struct batch_task {
	uint8_t state; /* enum batch_task_state */
	uint8_t step;
	uint16_t failures; /* number of failed_runs */
	uint16_t occurrence;
	uint32_t *failed_runs; /* runs that count as failed attempts */
	uint32_t run; /* highest known number of a run */
	uint32_t ended_run; /* highest number of a run that has ended */
	cs_handle run_row; /* of the scheduler's table of runs; 0: none */
	cs_time ready_since; /* when it could first start; 0: not yet */
	cs_time not_before; /* end of the pause after a failure */
	cs_handle last_failed_server; /* 0: none known */
	char *checkpoint; /* NULL: none */
};

/*
 * An occurrence of a job: all its steps, run once. A job that does not repeat
 * has one. Until a task of it begins, all of them wait, and it has neither
 * blocks nor counts.
 */
struct batch_occurrence {
	struct batch_task **blocks; /* of rows; NULL: all its tasks wait */
	int *left; /* tasks that are not done, for each step */
	int *waiting; /* tasks in BATCH_TASK_WAITING, for each step */
	int steps_left;
	bool is_open; /* its tasks may start */
	bool is_done;
};

struct batch {
	char id[BATCH_ID_MAX];
	char *queue;
	char *workspace; /* "" on an open queue without a key */
	int64_t submitted_unix_ms;
	struct batch_spec *spec;
	int occurrence_tasks; /* tasks of one occurrence */
	int *offsets; /* index of the first task of each step */
	int occurrences_nr;
	int occurrences_done;
	/*
	 * Rows of the occurrences from first_occurrence on, up to the last one
	 * that was opened; NULL: none. Those before are done, those after are
	 * not open.
	 */
	GArray *occurrences;
	int first_occurrence;
	size_t spec_bytes, row_bytes; /* see batch_bytes() */
	enum batch_state state;
	/*
	 * Names of the pools where tasks may have been ordered to start. NULL:
	 * none, or not known, as an earlier version stored the progress.
	 */
	GPtrArray *pools;
	int running; /* tasks in state BATCH_TASK_RUNNING */
	uint32_t version; /* rises with each change that must be stored */
	/*
	 * What held for the queue when the job was accepted. Not known if an
	 * earlier version accepted it.
	 */
	struct site_terms terms;
	/*
	 * Of a submission that names pools: it was stored on the condition of
	 * this revision of the owner's key.
	 */
	uint64_t begun_owner;
	bool has_terms;
	/* The limit of the workspace then; 0 in a field: none, or not known. */
	struct site_resources limit;
};

struct batch_spec *batch_spec_create(int steps_nr);
/* Bytes of memory that a specification takes; NULL takes none. */
size_t batch_spec_bytes(const struct batch_spec *spec);
void batch_spec_destroy(struct batch_spec *spec);
/*
 * Checks the counts, the limits, and that the steps form no cycle. Returns
 * CS_OK, or CS_ERR_INVALID with the reason in err.
 */
int batch_spec_check(const struct batch_spec *spec, struct cs_error *err);

/*
 * Duration of the longest path through the steps by the caller's estimates, ms.
 * spec must have passed the check.
 */
int64_t batch_spec_hinted_path_ms(const struct batch_spec *spec);

/* True for 16 hexadecimal digits. */
bool batch_id_is_valid(const char *id);

/* Bytes of memory that a batch takes, with its specification and rows. */
size_t batch_bytes(const struct batch *b);
/* Releases the payload of a batch whose tasks start no more. */
void batch_drop_payload(struct batch *b);

/* Takes over spec, which must have passed the check. */
struct batch *batch_create(const char *id, const char *queue,
			   const char *workspace, int64_t submitted_unix_ms,
			   struct batch_spec *spec);
void batch_destroy(struct batch *b);
/*
 * Creates a batch with only an identifier and a final state, for callers that
 * ask for the state of an ended job. It has no steps.
 */
struct batch *batch_create_ended(const char *id, const char *workspace,
				 enum batch_state state);

/*
 * The due time of an occurrence; 0 if it is due at once. BATCH_DUE_MAX_MS at
 * most, as callers choose any number.
 */
int64_t batch_due_unix_ms(const struct batch *b, int occurrence);

/* The number of occurrences that are due at a time. */
int batch_due_nr(const struct batch *b, int64_t unix_ms);

/* Lets the tasks of an occurrence start. No effect if it is open or done. */
void batch_open_occurrence(struct batch *b, int occurrence);
bool batch_occurrence_is_open(const struct batch *b, int occurrence);
bool batch_occurrence_is_done(const struct batch *b, int occurrence);
/* All occurrences from this one on are neither open nor done. */
int batch_occurrences_end(const struct batch *b);
/* Takes over from the store that an occurrence is done. */
void batch_restore_done(struct batch *b, int occurrence);

/* NULL if the occurrence is not open or a number is out of range. */
const struct batch_task *batch_find_task(const struct batch *b, int occurrence,
					 int step, int index);
/* The same to be changed: the task gets a row if it has none. */
struct batch_task *batch_task_row(struct batch *b, int occurrence, int step,
				  int index);
/*
 * The next row of an occurrence after *index, which is set to its position
 * among all tasks of the occurrence; -1 begins. NULL: there is none. Tasks that
 * only wait may have rows.
 */
struct batch_task *batch_next_row(const struct batch *b, int occurrence,
				  int *index);

/* True if the step is not done, and all steps that it depends on are. */
bool batch_step_is_ready(const struct batch *b, int occurrence, int step);

/* The number of waiting tasks of a step; 0 if the occurrence is not open. */
int batch_count_waiting(const struct batch *b, int occurrence, int step);
/* The number of tasks of a step that are not done. */
int batch_count_left(const struct batch *b, int occurrence, int step);
/* Waiting tasks of all steps that depend on no other. */
int batch_count_first_waiting(const struct batch *b, int occurrence);

/* True for done, failed and cancelled. */
bool batch_is_final(const struct batch *b);

/*
 * Records that tasks are about to be started in a pool, so that this is stored
 * before. Returns false if it was recorded already.
 */
bool batch_begin(struct batch *b, const char *pool);

/* True if tasks may have been ordered to start in the pool. */
bool batch_may_run_in(const struct batch *b, const char *pool);

/* Records a start. The run number must be higher than all before. */
void batch_task_started(struct batch *b, struct batch_task *t, uint32_t run);

/*
 * Takes back a start that certainly had no effect. The task waits again and
 * keeps its run number, which is the highest one ordered. A batch of which no
 * task has run is queued again.
 */
void batch_task_undo_start(struct batch *b, struct batch_task *t);

/* Takes over from the store that a task is done. */
void batch_task_restore_done(struct batch *b, struct batch_task *t);

/* Adds a run to failed_runs. Returns false if it was there. */
bool batch_task_add_failure(struct batch *b, struct batch_task *t,
			    uint32_t run);

/*
 * Copies a checkpoint of a task. Returns false if it is too long to be stored;
 * the task then keeps the last one.
 */
bool batch_task_set_checkpoint(struct batch *b, struct batch_task *t,
			       const char *checkpoint);
/* The same for one of any length, as another version may have stored it. */
void batch_task_restore_checkpoint(struct batch *b, struct batch_task *t,
				   const char *checkpoint, size_t length);

/*
 * Gives all members of a gang the checkpoint of the member with the latest run
 * that has one. It is valid for each of them, and all must start from the same.
 */
void batch_share_gang_checkpoint(struct batch *b, int occurrence, int step);

/*
 * Records the end of a run. An end that was recorded before, or of a task that
 * is done, changes nothing. Ends may come in any order. checkpoint may be NULL
 * or "" and is copied unless it is too long. A failed run counts as an attempt
 * unless the step is_long_running; with attempts_max of them the batch has
 * failed. Returns true if the progress changed and must be stored.
 */
bool batch_task_ended(struct batch *b, int occurrence, int step,
		      struct batch_task *t, uint32_t run, enum batch_end how,
		      const char *checkpoint, int attempts_max);

/* Ends the batch unless it is final already. Returns true if it did. */
bool batch_cancel(struct batch *b);

/* Sets the expected duration of one task of a step. */
void batch_set_expected_ms(struct batch *b, int step, int64_t ms);

/*
 * Length of the critical path through the steps of an occurrence by their
 * expected durations, in ms: of the steps that are not done, or of all if
 * is_whole.
 */
int64_t batch_critical_path_ms(const struct batch *b, int occurrence,
			       bool is_whole);

/* Formats and parses "ID.OCCURRENCE.STEP.INDEX". */
void batch_task_name(const struct batch *b, int occurrence, int step, int index,
		     char out[BATCH_TASK_NAME_MAX]);
int batch_task_name_parse(const char *name, char id[BATCH_ID_MAX],
			  int *occurrence, int *step, int *index);

/* "queued", "running", "done", "failed", "cancelled". */
const char *batch_state_name(enum batch_state state);
const char *batch_end_name(enum batch_end how);

#endif
