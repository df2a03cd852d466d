#include "node_core.h"

#include <errno.h>
#include <event2/event.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "../base/error.h"
#include "../base/task.h"

struct node_core {
	struct task *task;
	struct node *node;
	struct node_bus *bus;
	struct event *timer;
	struct event *turn; /* runs once after a batch of messages */
	cs_time timer_due; /* due time of the timer; CS_TIME_NEVER: not set */
	int drained_fd;
	bool is_drained;
};

static void emit_store_call(void *ctx, struct store_call *call)
{
	struct node_core *c = ctx;

	node_bus_post(c->bus, NODE_STORE, NODE_STORE_CALL, call);
}

static void emit_order(void *ctx, struct order *order)
{
	struct node_core *c = ctx;

	node_bus_post(c->bus, NODE_FLEET, NODE_ORDER, order);
}

static void emit_reply(void *ctx, struct api_reply *reply)
{
	struct node_core *c = ctx;

	node_bus_post(c->bus, NODE_FRONT, NODE_REPLY, reply);
}

static void emit_log(void *ctx, const char *event, const char *pairs)
{
	struct node_core *c = ctx;
	char *line = g_strdup_printf("event=%s %s", event, pairs);

	log_write(node_bus_log(c->bus), LOG_INFO, "core", NULL, NULL, NULL,
		  line);
	g_free(line);
}

static void emit_owner(void *ctx, const struct relay_contact *owner)
{
	struct node_core *c = ctx;

	node_bus_post(c->bus, NODE_FLEET, NODE_OWNER,
		      g_memdup2(owner, sizeof(*owner)));
}

static void emit_submission(void *ctx, struct submission *submission)
{
	struct node_core *c = ctx;

	node_bus_post(c->bus, NODE_FLEET, NODE_SUBMISSION, submission);
}

static bool admits_frequent_log(void *ctx)
{
	struct node_core *c = ctx;

	return log_admits_frequent(node_bus_log(c->bus));
}

static const struct node_ops node_ops = { emit_store_call,    emit_order,
					  emit_reply,	      emit_log,
					  emit_owner,	      emit_submission,
					  admits_frequent_log };

static int64_t unix_now(void)
{
	return g_get_real_time() / 1000;
}

/* Sets the timer for the next due time, and signals the end of a drain. */
static void finish_turn(struct node_core *c, cs_time now)
{
	cs_time due = node_next_due(c->node);
	struct timeval tv = { 0, 0 };
	uint64_t one = 1;

	if (node_is_drained(c->node) && !c->is_drained)
		c->is_drained = write(c->drained_fd, &one, sizeof(one)) > 0;
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

static void run_turn(struct node_core *c)
{
	cs_time now = task_now();

	node_turn(c->node, unix_now(), now);
	finish_turn(c, now);
}

static void on_timer(evutil_socket_t fd, short events, void *arg)
{
	struct node_core *c = arg;

	(void)fd;
	(void)events;
	c->timer_due = CS_TIME_NEVER;
	run_turn(c);
}

static void on_turn(evutil_socket_t fd, short events, void *arg)
{
	(void)fd;
	(void)events;
	run_turn(arg);
}

static int core_start(void *state, struct task *task, struct cs_error *err)
{
	struct node_core *c = state;
	cs_time now = task_now();

	c->timer = evtimer_new(task_event_base(task), on_timer, c);
	c->turn = evtimer_new(task_event_base(task), on_turn, c);
	if (!c->timer || !c->turn)
		return cs_error_set(err, CS_ERR_NOMEM, "core_start", NULL,
				    "cannot create a timer");
	c->timer_due = CS_TIME_NEVER;
	node_start(c->node, unix_now(), now);
	finish_turn(c, now);
	return CS_OK;
}

static void reply_metrics(struct node_core *c, struct node_metrics *m)
{
	m->text = g_string_new(NULL);
	counters_render(node_counters(c->node), m->text);
	node_bus_post(c->bus, NODE_FRONT, NODE_METRICS, m);
}

static void core_on_msg(void *state, struct task *task, void *item)
{
	struct node_core *c = state;
	struct node_msg *msg = item;
	cs_time now = task_now();

	(void)task;
	switch (msg->type) {
	case NODE_REQUEST:
		node_request(c->node, msg->body, now);
		msg->body = NULL;
		break;
	case NODE_STORE_REPLY:
		node_store_reply(c->node, msg->body, now);
		break;
	case NODE_ORDER_REPLY:
		node_order_reply(c->node, msg->body, now);
		break;
	case NODE_SUBMISSION:
		node_submission_stored(c->node, msg->body, now);
		break;
	case NODE_DRAIN:
		node_drain(c->node, now);
		break;
	case NODE_METRICS:
		reply_metrics(c, msg->body);
		msg->body = NULL;
		break;
	default:
		break;
	}
	node_msg_free(msg);
	event_active(c->turn, EV_TIMEOUT, 0);
}

static void core_stop(void *state, struct task *task)
{
	struct node_core *c = state;

	(void)task;
	event_free(c->timer);
	event_free(c->turn);
}

static const struct task_ops core_ops = {
	.name = "core",
	.start = core_start,
	.on_msg = core_on_msg,
	.stop = core_stop,
};

struct node_core *node_core_create(const struct node_options *options,
				   const struct node_formats *formats,
				   struct node_bus *bus, struct cs_error *err)
{
	struct node_core *c = g_new0(struct node_core, 1);

	c->bus = bus;
	c->node = node_create(options, &node_ops, c, formats);
	c->drained_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (c->drained_fd < 0) {
		cs_error_set(err, CS_ERR_IO, "node_core_create", NULL,
			     "eventfd: %s", strerror(errno));
		goto fail;
	}
	c->task = task_create(&core_ops, c, node_bus_mailbox(bus, NODE_CORE),
			      err);
	if (!c->task)
		goto fail;
	return c;
fail:
	node_core_destroy(c);
	return NULL;
}

void node_core_destroy(struct node_core *c)
{
	if (!c)
		return;
	task_destroy(c->task);
	node_destroy(c->node);
	if (c->drained_fd >= 0)
		close(c->drained_fd);
	g_free(c);
}

int node_core_drained_fd(const struct node_core *c)
{
	return c->drained_fd;
}
