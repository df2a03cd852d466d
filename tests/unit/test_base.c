#include "unit.h"

#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "../../src/base/counters.h"
#include "../../src/base/error.h"
#include "../../src/base/heap.h"
#include "../../src/base/log.h"
#include "../../src/base/mailbox.h"
#include "../../src/base/slots.h"
#include "../../src/base/task.h"
#include "../../src/base/timers.h"
#include "../../src/base/trace.h"

/* A stale handle must not reach the row that reuses the index. */
static void stale_handle_finds_nothing(void **state)
{
	struct slots *s = slots_create(sizeof(int), 2);
	cs_handle a, b;
	int *row;

	(void)state;
	a = slots_alloc(s, (void **)&row);
	*row = 7;
	assert_true(slots_free(s, a));
	b = slots_alloc(s, (void **)&row);
	assert_int_equal(*row, 0);
	assert_true(a != b);
	assert_null(slots_get(s, a));
	assert_false(slots_free(s, a));
	assert_non_null(slots_get(s, b));
	assert_null(slots_get(s, 0));
	slots_destroy(s);
}

/* A full table must refuse new rows, not overwrite old ones. */
static void full_table_refuses(void **state)
{
	struct slots *s = slots_create(sizeof(int), 2);
	cs_handle a = slots_alloc(s, NULL);
	cs_handle b = slots_alloc(s, NULL);

	(void)state;
	assert_true(a && b);
	assert_int_equal(slots_alloc(s, NULL), 0);
	assert_int_equal(slots_next(s, 0), a);
	assert_int_equal(slots_next(s, a), b);
	assert_int_equal(slots_next(s, b), 0);
	slots_destroy(s);
}

struct fired {
	char order[16];
	size_t nr;
	struct timers *timers;
};

static void record(void *ctx, uint64_t arg, cs_time now)
{
	struct fired *f = ctx;

	(void)now;
	f->order[f->nr++] = (char)arg;
}

static void resubscribe(void *ctx, uint64_t arg, cs_time now)
{
	struct fired *f = ctx;

	f->order[f->nr++] = (char)arg;
	timers_subscribe(f->timers, now, resubscribe, ctx, arg);
}

/*
 * Timers of equal times must run in the order of subscription; otherwise runs
 * with the same seed differ.
 */
static void timers_run_in_order(void **state)
{
	struct fired f = { .timers = timers_create() };
	cs_handle c;

	(void)state;
	timers_subscribe(f.timers, 20, record, &f, 'b');
	timers_subscribe(f.timers, 10, record, &f, 'a');
	c = timers_subscribe(f.timers, 15, record, &f, 'x');
	timers_subscribe(f.timers, 20, record, &f, 'c');
	timers_subscribe(f.timers, 30, record, &f, 'd');
	assert_true(timers_cancel(f.timers, c));
	assert_false(timers_cancel(f.timers, c));
	assert_int_equal(timers_next_due(f.timers), 10);
	timers_advance(f.timers, 20);
	assert_string_equal(f.order, "abc");
	assert_int_equal(timers_next_due(f.timers), 30);
	timers_destroy(f.timers);
}

/* A timer that subscribes again for the same time must not loop forever. */
static void advance_ends_with_periodic_timer(void **state)
{
	struct fired f = { .timers = timers_create() };

	(void)state;
	timers_subscribe(f.timers, 5, resubscribe, &f, 'p');
	timers_advance(f.timers, 5);
	assert_string_equal(f.order, "p");
	timers_advance(f.timers, 5);
	assert_string_equal(f.order, "pp");
	timers_destroy(f.timers);
}

static void ignore_item(void *item)
{
	(void)item;
}

/* A full mailbox must refuse requests but still accept replies. */
static void full_mailbox_refuses(void **state)
{
	struct mailbox *m = mailbox_create(2, ignore_item, NULL);
	void *out[4];
	int a, b;

	(void)state;
	assert_int_equal(mailbox_post(m, &a), CS_OK);
	assert_int_equal(mailbox_post(m, &b), CS_OK);
	assert_int_equal(mailbox_post(m, &a), CS_ERR_FULL);
	mailbox_post_unbounded(m, &a);
	assert_int_equal(mailbox_take(m, out, 4), 3);
	assert_ptr_equal(out[0], &a);
	assert_ptr_equal(out[1], &b);
	assert_ptr_equal(out[2], &a);
	mailbox_destroy(m);
}

struct adder {
	long sum;
	int seen;
	pthread_mutex_t lock;
	pthread_cond_t all;
};

static int adder_start(void *state, struct task *task, struct cs_error *err)
{
	(void)state;
	(void)task;
	(void)err;
	return CS_OK;
}

static void adder_on_msg(void *state, struct task *task, void *msg)
{
	struct adder *a = state;

	(void)task;
	pthread_mutex_lock(&a->lock);
	a->sum += *(int *)msg;
	if (++a->seen == 1000)
		pthread_cond_signal(&a->all);
	pthread_mutex_unlock(&a->lock);
}

static void adder_stop(void *state, struct task *task)
{
	(void)state;
	(void)task;
}

/* Guards against a lost wake-up when a post meets an emptied mailbox. */
static void task_receives_every_message(void **state)
{
	static const struct task_ops ops = {
		.name = "adder",
		.start = adder_start,
		.on_msg = adder_on_msg,
		.stop = adder_stop,
	};
	struct adder a = { .lock = PTHREAD_MUTEX_INITIALIZER,
			   .all = PTHREAD_COND_INITIALIZER };
	struct mailbox *m = mailbox_create(16, ignore_item, NULL);
	struct task *t = task_create(&ops, &a, m, NULL);
	int i, one = 1;

	(void)state;
	assert_non_null(t);
	for (i = 0; i < 1000; i++)
		while (mailbox_post(m, &one) == CS_ERR_FULL)
			sched_yield();
	pthread_mutex_lock(&a.lock);
	while (a.seen < 1000)
		pthread_cond_wait(&a.all, &a.lock);
	pthread_mutex_unlock(&a.lock);
	task_destroy(t);
	mailbox_destroy(m);
	assert_int_equal(a.sum, 1000);
}

/* A malformed traceparent must be refused, and a valid one unchanged. */
static void traceparent_is_checked(void **state)
{
	static const char good[] =
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
	static const char *const bad[] = {
		"",
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
		"ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
		"00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
		"00-00000000000000000000000000000000-b7ad6b7169203331-01",
		"00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
		"00-0af7651916cd43dd8448eb211c80319cxb7ad6b7169203331-01",
	};
	char out[TRACEPARENT_LEN];
	struct trace t;
	size_t i;

	(void)state;
	assert_int_equal(trace_parse(&t, good), CS_OK);
	trace_format(&t, out);
	assert_string_equal(out, good);
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(trace_parse(&t, bad[i]), CS_ERR_INVALID);
}

/* A value with a line end must not split a log line. */
static void log_values_are_quoted(void **state)
{
	GString *s = g_string_new(NULL);

	(void)state;
	log_pair(s, "a", "plain");
	log_pair(s, "b", "two words");
	log_pair(s, "c", "x=\"y\"\n");
	log_pair(s, "d", "");
	assert_string_equal(
		s->str,
		"a=plain b=\"two words\" c=\"x=\\\"y\\\"\\x0a\" d=\"\"");
	g_string_free(s, TRUE);
}

/*
 * Buckets of a histogram must be cumulative and carry its labels; otherwise
 * monitoring tools show wrong quantiles.
 */
static void histograms_add_up(void **state)
{
	struct counters *c = counters_create();
	GString *s = g_string_new(NULL);

	(void)state;
	counters_observe(c, "x_seconds", "op=\"get\"", 4 * CS_MSEC);
	counters_observe(c, "x_seconds", "op=\"get\"", 30 * CS_SEC);
	counters_observe(c, "x_seconds", "", -5);
	counters_render(c, s);
	assert_non_null(strstr(s->str, "# TYPE x_seconds histogram\n"));
	assert_non_null(strstr(
		s->str, "x_seconds_bucket{op=\"get\",le=\"0.002\"} 0\n"));
	assert_non_null(strstr(
		s->str, "x_seconds_bucket{op=\"get\",le=\"0.005\"} 1\n"));
	assert_non_null(
		strstr(s->str, "x_seconds_bucket{op=\"get\",le=\"+Inf\"} 2\n"));
	assert_non_null(strstr(s->str, "x_seconds_sum{op=\"get\"} 30.004\n"));
	assert_non_null(strstr(s->str, "x_seconds_count{op=\"get\"} 2\n"));
	assert_non_null(strstr(s->str, "x_seconds_bucket{le=\"0.001\"} 1\n"));
	assert_non_null(strstr(s->str, "x_seconds_sum 0\n"));
	g_string_free(s, TRUE);
	counters_destroy(c);
}

/* Each metric must have one TYPE line, followed by all its label sets. */
static void counters_render_sorted(void **state)
{
	struct counters *c = counters_create();
	GString *s = g_string_new(NULL);

	(void)state;
	counters_add(c, "b_total", "reason=\"x\"", 2);
	counters_add(c, "b_total", "reason=\"w\"", 1);
	counters_add(c, "b_total", "reason=\"x\"", 1);
	counters_set(c, "a", "", 5);
	counters_render(c, s);
	assert_string_equal(s->str, "# TYPE a gauge\na 5\n"
				    "# TYPE b_total counter\n"
				    "b_total{reason=\"w\"} 1\n"
				    "b_total{reason=\"x\"} 3\n");
	assert_int_equal(counters_value(c, "b_total", "reason=\"x\""), 3);
	g_string_free(s, TRUE);
	counters_destroy(c);
}

/* A long text must be truncated, not written past the end of a field. */
static void error_text_is_bounded(void **state)
{
	struct cs_error err;
	char peer[200];

	(void)state;
	memset(peer, 'p', sizeof(peer) - 1);
	peer[sizeof(peer) - 1] = '\0';
	assert_int_equal(cs_error_set(&err, CS_ERR_IO, "step", peer, "%s",
				      peer),
			 CS_ERR_IO);
	assert_int_equal(strlen(err.peer), sizeof(err.peer) - 1);
	assert_string_equal(cs_code_name(err.code), "io");
	assert_string_equal(cs_code_name(-99), "unknown");
}

struct heap_row {
	struct heap_node node;
	uint32_t key;
};

static bool is_lower(const struct heap_node *a, const struct heap_node *b)
{
	return ((const struct heap_row *)a)->key <
	       ((const struct heap_row *)b)->key;
}

/* A node with a stale position would let nodes[0] differ from the minimum. */
static void heap_keeps_its_order(void **state)
{
	enum { ROWS = 50 };
	struct heap heap = { .is_before = is_lower };
	struct heap_row rows[ROWS], *row;
	GRand *rng = g_rand_new_with_seed(1);
	uint32_t minimum;
	int i, step;

	(void)state;
	for (i = 0; i < ROWS; i++)
		rows[i].node.pos = HEAP_POS_NONE;
	for (step = 0; step < 5000; step++) {
		row = &rows[g_rand_int_range(rng, 0, ROWS)];
		row->key = g_rand_int(rng);
		if (row->node.pos == HEAP_POS_NONE)
			assert_true(heap_insert(&heap, &row->node));
		else if (step % 3)
			heap_update(&heap, &row->node);
		else
			heap_remove(&heap, &row->node);
		minimum = UINT32_MAX;
		for (i = 0; i < ROWS; i++)
			if (rows[i].node.pos != HEAP_POS_NONE)
				minimum = MIN(minimum, rows[i].key);
		if (heap.nr)
			assert_int_equal(
				((struct heap_row *)heap.nodes[0])->key,
				minimum);
	}
	heap_clear(&heap);
	g_rand_free(rng);
}

/*
 * Guards against lines of each task that crowd out the line that explains a
 * failure: a quarter of a second's lines is kept for rarer ones.
 */
static void frequent_lines_leave_room(void **state)
{
	struct cs_error err = { 0 };
	char text[65536];
	int fd[2], i, admitted = 0;
	struct log *log;
	ssize_t n;

	(void)state;
	assert_int_equal(pipe(fd), 0);
	log = log_create_bounded(LOG_INFO, fd[1], 40, &err);
	assert_non_null(log);
	/* The second may change once in between. */
	for (i = 0; i < 1000; i++) {
		if (!log_admits_frequent(log))
			continue;
		admitted++;
		log_write(log, LOG_INFO, NULL, NULL, NULL, NULL,
			  "event=frequent");
	}
	assert_in_range(admitted, 30, 60);
	log_write(log, LOG_INFO, NULL, NULL, NULL, NULL, "event=rare");
	n = read(fd[0], text, sizeof(text) - 1);
	assert_true(n > 0);
	text[n] = '\0';
	assert_non_null(strstr(text, "event=rare"));
	assert_non_null(strstr(text, "event=log_dropped"));
	assert_non_null(strstr(text, " frequent="));
	log_destroy(log);
	close(fd[0]);
	close(fd[1]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(stale_handle_finds_nothing),
		cmocka_unit_test(full_table_refuses),
		cmocka_unit_test(timers_run_in_order),
		cmocka_unit_test(advance_ends_with_periodic_timer),
		cmocka_unit_test(full_mailbox_refuses),
		cmocka_unit_test(task_receives_every_message),
		cmocka_unit_test(traceparent_is_checked),
		cmocka_unit_test(log_values_are_quoted),
		cmocka_unit_test(frequent_lines_leave_room),
		cmocka_unit_test(histograms_add_up),
		cmocka_unit_test(counters_render_sorted),
		cmocka_unit_test(error_text_is_bounded),
		cmocka_unit_test(heap_keeps_its_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
