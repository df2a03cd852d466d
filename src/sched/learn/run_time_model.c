#include "run_time_model.h"

#include "../../base/error.h"
#include "estimate.h"
#include "run_times_codec.h"

struct run_time_model {
	const struct run_time_model_ops *ops;
	void *state;
};

/*
 * Progress comes in percent and with calls that wait for an end, so it is
 * reported once a second or less often. A run counts as stuck, and its server
 * as silent, only after more than that.
 */
#define STILL_MIN_MS 3000
#define SILENT_MS 2000

/* 90% of run times are below this multiple of a hint, or of a line's median. */
#define P90_FACTOR 2
/* A longer hint counts as 24 h. */
#define HINT_MAX_MS ((int64_t)24 * 3600 * 1000)

/* The hint alone. */

static void *hint_create(void)
{
	return NULL;
}

static void hint_destroy(void *state)
{
	(void)state;
}

static void hint_record(void *state, const struct run_times_key *k,
			int64_t ran_ms, bool is_censored, double server_speed)
{
	(void)state;
	(void)k;
	(void)ran_ms;
	(void)is_censored;
	(void)server_speed;
}

static struct run_times_prediction hint_predict(void *state,
						const struct run_times_key *k)
{
	int64_t hint = CLAMP(k->hint_ms, 0, HINT_MAX_MS);
	struct run_times_prediction p = { hint, hint, P90_FACTOR * hint, 0 };

	(void)state;
	return p;
}

const struct run_time_model_ops run_time_model_hint = {
	"hint", hint_create, hint_destroy, hint_record, hint_predict, NULL, NULL
};

/* One line for each queue. */

static void estimate_free(void *row)
{
	estimate_destroy(row);
}

static void *line_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     estimate_free);
}

static void line_destroy(void *state)
{
	g_hash_table_destroy(state);
}

static struct estimate *line_of(GHashTable *lines, const char *queue)
{
	struct estimate *e = g_hash_table_lookup(lines, queue);

	if (!e) {
		e = estimate_create();
		g_hash_table_insert(lines, g_strdup(queue), e);
	}
	return e;
}

static void line_record(void *state, const struct run_times_key *k,
			int64_t ran_ms, bool is_censored, double server_speed)
{
	(void)server_speed;
	if (!is_censored)
		estimate_record(line_of(state, k->queue), k->hint_ms, ran_ms);
}

static struct run_times_prediction line_predict(void *state,
						const struct run_times_key *k)
{
	const struct estimate *e = line_of(state, k->queue);
	struct run_times_prediction p = { 0 };

	p.median_ms = estimate_median_ms(e, k->hint_ms);
	p.mean_ms = estimate_mean_ms(e, k->hint_ms);
	p.p90_ms = P90_FACTOR * p.median_ms;
	return p;
}

const struct run_time_model_ops run_time_model_line = {
	"line", line_create, line_destroy, line_record, line_predict, NULL, NULL
};

/* Nested groups. */

static void *learned_create(void)
{
	return run_times_create();
}

static void learned_destroy(void *state)
{
	run_times_destroy(state);
}

static void learned_record(void *state, const struct run_times_key *k,
			   int64_t ran_ms, bool is_censored,
			   double server_speed)
{
	run_times_record(state, k, ran_ms, is_censored, server_speed);
}

static struct run_times_prediction learned_predict(
	void *state, const struct run_times_key *k)
{
	return run_times_predict(state, k);
}

static GBytes *learned_encode(const void *state)
{
	return run_times_encode(state);
}

static void *learned_decode(const void *data, size_t size)
{
	return run_times_decode(data, size);
}

const struct run_time_model_ops run_time_model_learned = {
	"learned",	 learned_create, learned_destroy, learned_record,
	learned_predict, learned_encode, learned_decode
};

struct run_time_model *run_time_model_create(
	const struct run_time_model_ops *ops)
{
	struct run_time_model *m = g_new0(struct run_time_model, 1);

	m->ops = ops;
	m->state = ops->create();
	return m;
}

void run_time_model_destroy(struct run_time_model *m)
{
	if (!m)
		return;
	m->ops->destroy(m->state);
	g_free(m);
}

const char *run_time_model_name(const struct run_time_model *m)
{
	return m->ops->name;
}

void run_time_model_record(struct run_time_model *m,
			   const struct run_times_key *k, int64_t ran_ms,
			   bool is_censored, double server_speed)
{
	m->ops->record(m->state, k, ran_ms, is_censored, server_speed);
}

struct run_times_prediction run_time_model_predict(
	const struct run_time_model *m, const struct run_times_key *k)
{
	return m->ops->predict(m->state, k);
}

GBytes *run_time_model_encode(const struct run_time_model *m)
{
	return m->ops->encode ? m->ops->encode(m->state) : NULL;
}

int run_time_model_restore(struct run_time_model *m, const void *data,
			   size_t size)
{
	void *state = m->ops->decode ? m->ops->decode(data, size) : NULL;

	if (!state)
		return CS_ERR_INVALID;
	m->ops->destroy(m->state);
	m->state = state;
	return CS_OK;
}

const char *run_time_ratio_name(int64_t ran_ms, int64_t predicted_ms)
{
	static const struct {
		double below;
		const char *name;
	} rows[] = { { 1 / 3.0, "under_third" },
		     { 0.5, "under_half" },
		     { 0.8, "under" },
		     { 1.25, "close" },
		     { 2, "over" },
		     { 3, "over_double" } };
	double ratio = (double)ran_ms / (double)MAX(predicted_ms, 1);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		if (ratio < rows[i].below)
			return rows[i].name;
	return "over_triple";
}

enum run_time_tail run_time_tail_of(int64_t predicted_ms, int64_t age_ms,
				    int64_t still_ms, int64_t silent_ms)
{
	if (predicted_ms <= 0 || age_ms / RUN_TIME_TAIL <= predicted_ms)
		return RUN_TIME_USUAL;
	if (silent_ms >= SILENT_MS)
		return RUN_TIME_SILENT;
	/* One percent of the time so far is what a list can show. */
	return still_ms >= MAX(STILL_MIN_MS, age_ms / 2) ?
		       RUN_TIME_STUCK :
		       RUN_TIME_UNDERESTIMATED;
}

const char *run_time_tail_name(enum run_time_tail tail)
{
	static const char *const names[] = { "usual", "underestimated", "stuck",
					     "silent" };

	return names[tail];
}
