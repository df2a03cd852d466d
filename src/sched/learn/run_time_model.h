#ifndef SCHED_RUN_TIME_MODEL_H
#define SCHED_RUN_TIME_MODEL_H

#include "run_times.h"

/*
 * How run times are predicted: a table of functions with its state. The
 * arguments are those of run_times_record() and run_times_predict().
 */
struct run_time_model_ops {
	const char *name; /* in logs */
	void *(*create)(void);
	void (*destroy)(void *state);
	void (*record)(void *state, const struct run_times_key *key,
		       int64_t ran_ms, bool is_censored, double server_speed);
	struct run_times_prediction (*predict)(void *state,
					       const struct run_times_key *key);
	/* The state as bytes; NULL if the model keeps nothing. */
	GBytes *(*encode)(const void *state);
	/* A state from such bytes; NULL: they are malformed. */
	void *(*decode)(const void *data, size_t size);
};

/* The caller's hint alone. */
extern const struct run_time_model_ops run_time_model_hint;
/* One line from hint to run time for each queue; see estimate.h. */
extern const struct run_time_model_ops run_time_model_line;
/* Nested groups; see run_times.h. */
extern const struct run_time_model_ops run_time_model_learned;

struct run_time_model;

struct run_time_model *run_time_model_create(
	const struct run_time_model_ops *ops);
void run_time_model_destroy(struct run_time_model *model);
const char *run_time_model_name(const struct run_time_model *model);
void run_time_model_record(struct run_time_model *model,
			   const struct run_times_key *key, int64_t ran_ms,
			   bool is_censored, double server_speed);
struct run_times_prediction run_time_model_predict(
	const struct run_time_model *model, const struct run_times_key *key);
/* NULL if the model keeps nothing beyond the term. The caller frees it. */
GBytes *run_time_model_encode(const struct run_time_model *model);
/*
 * Replaces what the model knows by what was encoded. CS_ERR_INVALID if the
 * bytes are malformed, or the model keeps nothing; it is then as before.
 */
int run_time_model_restore(struct run_time_model *model, const void *data,
			   size_t size);

/*
 * How a run time compares to its prediction, as a label of metrics:
 * "under_third" to "over_triple".
 */
const char *run_time_ratio_name(int64_t ran_ms, int64_t predicted_ms);

/* What a run that takes over RUN_TIME_TAIL times its prediction is. */
enum run_time_tail {
	RUN_TIME_USUAL, /* not one of them */
	RUN_TIME_UNDERESTIMATED, /* it goes on */
	RUN_TIME_STUCK, /* its progress stands still */
	RUN_TIME_SILENT /* its server reports nothing */
};
#define RUN_TIME_TAIL 3
/*
 * age_ms: since its start order; still_ms: since its progress changed last;
 * silent_ms: since its server answered.
 */
enum run_time_tail run_time_tail_of(int64_t predicted_ms, int64_t age_ms,
				    int64_t still_ms, int64_t silent_ms);
const char *run_time_tail_name(enum run_time_tail tail);

#endif
