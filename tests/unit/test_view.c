#include "unit.h"

#include "../../src/base/timers.h"
#include "../../src/store/view.h"

/* Tests of how a view reads a prefix whose list comes in pages. */

struct fixture {
	struct store_calls *calls;
	struct timers *timers;
	struct view *view;
	struct store_call *call; /* the last one; NULL: answered */
	cs_time now;
	int puts, synced;
};

static void take_call(void *ctx, struct store_call *call)
{
	struct fixture *f = ctx;

	assert_null(f->call);
	f->call = call;
}

static void on_put(void *ctx, const struct store_item *item, cs_time now)
{
	(void)item;
	(void)now;
	((struct fixture *)ctx)->puts++;
}

static void on_delete(void *ctx, const char *key, cs_time now)
{
	(void)ctx;
	(void)key;
	(void)now;
}

static void on_synced(void *ctx, cs_time now)
{
	(void)now;
	((struct fixture *)ctx)->synced++;
}

/* Answers the open call; key: an item of the reply, or NULL. */
static void answer(struct fixture *f, enum store_result result, const char *key,
		   bool has_more)
{
	struct store_call *call = f->call;
	struct store_reply *d = store_reply_new(call);

	f->call = NULL;
	d->result = result;
	d->revision = 7;
	d->has_more = has_more;
	if (key)
		store_reply_add(d, key, g_bytes_new_static("", 0), 3, 3, 0);
	store_call_free(call);
	store_calls_on_reply(f->calls, d, f->now);
	store_reply_free(d);
}

/* Lets the pause after a failed call pass. */
static void pass_pause(struct fixture *f)
{
	f->now = timers_next_due(f->timers);
	timers_advance(f->timers, f->now);
}

/* The page that the open call asks for; NULL: the first one. */
static const char *page_after(const struct fixture *f)
{
	return f->call ? f->call->page_after : "no call";
}

/*
 * Guards against a list that never ends on a bad link: when one page was lost,
 * all pages before it were read again.
 */
static void lost_page_alone_is_read_again(void **state)
{
	static const struct store_port port = { take_call };
	static const struct view_ops ops = { on_put, on_delete, on_synced };
	const struct view_options options = { .prefix = "jobs/",
					      .wait_ms = 1000 };
	struct fixture f = { .timers = timers_create(), .now = CS_SEC };

	(void)state;
	f.calls = store_calls_create(&port, &f);
	f.view = view_create(&options, f.calls, f.timers, &ops, &f, f.now);
	assert_null(page_after(&f));
	answer(&f, STORE_OK, "jobs/a", true);
	assert_string_equal(page_after(&f), "jobs/a");
	answer(&f, STORE_UNKNOWN, NULL, false);
	pass_pause(&f);
	assert_string_equal(page_after(&f), "jobs/a");
	answer(&f, STORE_OK, "jobs/b", true);
	answer(&f, STORE_REFUSED, NULL, false);
	pass_pause(&f);
	assert_string_equal(page_after(&f), "jobs/b");
	answer(&f, STORE_OK, "jobs/c", false);
	assert_int_equal(f.synced, 1);
	assert_int_equal(f.puts, 3);
	/* What changed while the pages were read comes with the watch. */
	assert_true(f.call && f.call->op == STORE_WATCH && f.call->after == 7);
	/* A new list begins at the first page. */
	answer(&f, STORE_COMPACTED, NULL, false);
	assert_true(f.call && f.call->op == STORE_LIST);
	assert_null(page_after(&f));
	store_call_free(f.call);
	view_destroy(f.view);
	store_calls_destroy(f.calls);
	timers_destroy(f.timers);
}

/* How long the open call waits for changes, ms; -1: no call is open. */
static int64_t call_wait_ms(const struct fixture *f)
{
	return f->call ? f->call->wait_ms : -1;
}

/*
 * Guards against work that is refused for a second after an outage: a watch
 * that waits for changes tells that the store is back only at its end.
 */
static void watch_after_failure_does_not_wait(void **state)
{
	static const struct store_port port = { take_call };
	static const struct view_ops ops = { on_put, on_delete, on_synced };
	const struct view_options options = { .prefix = "jobs/",
					      .wait_ms = 900 };
	struct fixture f = { .timers = timers_create(), .now = CS_SEC };
	int i;

	(void)state;
	f.calls = store_calls_create(&port, &f);
	f.view = view_create(&options, f.calls, f.timers, &ops, &f, f.now);
	answer(&f, STORE_OK, NULL, false);
	assert_int_equal(call_wait_ms(&f), 900);
	for (i = 0; i < 6; i++) {
		answer(&f, STORE_REFUSED, NULL, false);
		pass_pause(&f);
		assert_int_equal(call_wait_ms(&f), 0);
	}
	answer(&f, STORE_OK, NULL, false);
	assert_int_equal(call_wait_ms(&f), 900);
	store_call_free(f.call);
	view_destroy(f.view);
	store_calls_destroy(f.calls);
	timers_destroy(f.timers);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(lost_page_alone_is_read_again),
		cmocka_unit_test(watch_after_failure_does_not_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
