#include "core_task.h"

#include <errno.h>
#include <event2/event.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "../base/error.h"
#include "../base/task.h"

struct core_task {
	struct task *task;
	struct entry *entry;
	struct bus *bus;
	struct event *timer;
	cs_time timer_due; /* CS_TIME_NEVER if the timer is not armed */
	int drained_fd;
	bool is_drained;
	const char *blocker; /* part that the drain waits for, last logged */
};

static void emit(void *ctx, struct msg *msg)
{
	struct core_task *c = ctx;

	/* Messages of the core are never refused, see the routes in bus.c. */
	bus_post(c->bus, BUS_CORE, msg);
}

static const struct outbox_ops outbox = { emit };

/* Logs the part that a drain waits for whenever it changes. */
static void log_drain_blocker(struct core_task *c)
{
	const char *blocker = entry_is_draining(c->entry) ?
				      entry_drain_blocker(c->entry) :
				      NULL;
	GString *pairs;

	if (blocker == c->blocker)
		return;
	c->blocker = blocker;
	if (!blocker)
		return;
	pairs = g_string_new(NULL);
	log_pair(pairs, "event", "drain_waits");
	log_pair(pairs, "part", blocker);
	log_write(bus_log(c->bus), LOG_INFO, "core", "drain", NULL, NULL,
		  pairs->str);
	g_string_free(pairs, TRUE);
}

/*
 * Called after each call of the core: arms the timer for its next due time and
 * reports the end of a drain.
 */
static void after_core_call(struct core_task *c, cs_time now)
{
	cs_time due = entry_next_due(c->entry);
	struct timeval tv = { 0, 0 };
	uint64_t one = 1;

	log_drain_blocker(c);
	if (entry_is_drained(c->entry) && !c->is_drained) {
		c->is_drained = true;
		if (write(c->drained_fd, &one, sizeof(one)) < 0)
			c->is_drained = false; /* retry after the next call */
	}
	if (due == c->timer_due)
		return;
	c->timer_due = due;
	if (due == CS_TIME_NEVER) {
		evtimer_del(c->timer);
		return;
	}
	if (due > now) {
		tv.tv_sec = (due - now) / CS_SEC;
		tv.tv_usec = (due - now) % CS_SEC;
	}
	evtimer_add(c->timer, &tv);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	struct core_task *c = arg;
	cs_time now = task_now();

	(void)fd;
	(void)events;
	c->timer_due = CS_TIME_NEVER;
	entry_advance(c->entry, now);
	after_core_call(c, now);
}

/* Runs on the core's thread. */
static int core_start(void *state, struct task *task, struct cs_error *err)
{
	struct core_task *c = state;
	cs_time now = task_now();

	c->timer = evtimer_new(task_event_base(task), on_timer, c);
	if (!c->timer)
		return cs_error_set(err, CS_ERR_NOMEM, "core_start", NULL,
				    "cannot create a timer");
	c->timer_due = CS_TIME_NEVER;
	entry_start(c->entry, now);
	after_core_call(c, now);
	return CS_OK;
}

static void core_on_msg(void *state, struct task *task, void *msg)
{
	struct core_task *c = state;
	cs_time now = task_now();

	(void)task;
	entry_handle(c->entry, msg, now);
	after_core_call(c, now);
}

static void core_stop(void *state, struct task *task)
{
	struct core_task *c = state;

	(void)task;
	event_free(c->timer);
}

static const struct task_ops core_ops = {
	.name = "core",
	.start = core_start,
	.on_msg = core_on_msg,
	.stop = core_stop,
};

struct core_task *core_task_create(const struct entry_options *options,
				   struct bus *bus, struct cs_error *err)
{
	struct core_task *c = g_new0(struct core_task, 1);

	c->bus = bus;
	c->drained_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (c->drained_fd < 0) {
		cs_error_set(err, CS_ERR_IO, "core_task_create", NULL,
			     "eventfd: %s", strerror(errno));
		goto fail;
	}
	c->entry = entry_create(options, &outbox, c, err);
	if (!c->entry)
		goto fail;
	c->task = task_create(&core_ops, c, bus_mailbox(bus, BUS_CORE), err);
	if (!c->task)
		goto fail;
	return c;
fail:
	core_task_destroy(c);
	return NULL;
}

void core_task_destroy(struct core_task *c)
{
	if (!c)
		return;
	task_destroy(c->task);
	entry_destroy(c->entry);
	if (c->drained_fd >= 0)
		close(c->drained_fd);
	g_free(c);
}

int core_task_drained_fd(const struct core_task *c)
{
	return c->drained_fd;
}
