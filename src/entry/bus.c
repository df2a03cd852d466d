#include "bus.h"

#include "../base/error.h"

/*
 * Messages of new work that may wait in one mailbox. At 5 ms a request, a core
 * with this backlog would answer seconds late, so further work is refused.
 */
#define MAILBOX_LIMIT 8192

struct bus {
	struct log *log;
	struct mailbox *mailboxes[BUS_TASK_NR];
};

/* Where messages of a type are posted. */
struct route {
	enum bus_task to;
	bool is_new_work; /* refused when the mailbox is full */
};

static const struct route routes[MSG_TYPE_NR] = {
	[MSG_SUBMIT] = { BUS_CORE, true },
	[MSG_JOB_QUERY] = { BUS_CORE, true },
	[MSG_JOB_CANCEL] = { BUS_CORE, true },
	[MSG_CALLER_GONE] = { BUS_CORE, false },
	[MSG_REPLY] = { BUS_FRONT, false },
	[MSG_TASK_START] = { BUS_WORKER, false },
	[MSG_TASK_CONTROL] = { BUS_WORKER, false },
	[MSG_USAGE_POLL] = { BUS_WORKER, false },
	[MSG_TASK_DONE] = { BUS_CORE, false },
	[MSG_TASK_CONTROL_DONE] = { BUS_CORE, false },
	[MSG_USAGE] = { BUS_CORE, false },
	[MSG_KV_CALL] = { BUS_PLATFORM, false },
	[MSG_KV_DONE] = { BUS_CORE, false },
	[MSG_PEER] = { BUS_PEER, false },
	[MSG_PEER_STATE] = { BUS_CORE, false },
	[MSG_ADMIN_CALL] = { BUS_CORE, true },
	[MSG_ADMIN_REPLY] = { BUS_ADMIN, false },
	[MSG_METRICS_REPLY] = { BUS_ADMIN, false },
	[MSG_DRAIN] = { BUS_CORE, false },
};

const char *bus_task_name(enum bus_task task)
{
	static const char *const names[BUS_TASK_NR] = {
		"core", "front", "admin", "worker", "platform", "peer",
	};

	return (unsigned)task < BUS_TASK_NR ? names[task] : "invalid";
}

struct bus *bus_create(struct log *log, struct cs_error *err)
{
	struct bus *bus = g_new0(struct bus, 1);
	int i;

	bus->log = log;
	for (i = 0; i < BUS_TASK_NR; i++) {
		bus->mailboxes[i] =
			mailbox_create(MAILBOX_LIMIT, msg_free_item, err);
		if (!bus->mailboxes[i]) {
			bus_destroy(bus);
			return NULL;
		}
	}
	return bus;
}

void bus_destroy(struct bus *bus)
{
	int i;

	if (!bus)
		return;
	for (i = 0; i < BUS_TASK_NR; i++)
		mailbox_destroy(bus->mailboxes[i]);
	g_free(bus);
}

struct mailbox *bus_mailbox(struct bus *bus, enum bus_task task)
{
	return bus->mailboxes[task];
}

struct log *bus_log(struct bus *bus)
{
	return bus->log;
}

/* Logs a finished span as one line. */
static void log_span(struct bus *bus, enum bus_task from,
		     const struct span *span)
{
	GString *pairs;

	if (!log_enabled(bus->log, LOG_INFO))
		return;
	pairs = g_string_new(NULL);
	log_pair(pairs, "event", "span");
	log_pair(pairs, "name", span->name);
	g_string_append_printf(pairs, " span=%016" G_GINT64_MODIFIER "x",
			       span->trace.span);
	g_string_append_printf(pairs, " parent=%016" G_GINT64_MODIFIER "x",
			       span->trace.parent);
	log_pair_int(pairs, "start_us", span->start);
	log_pair_int(pairs, "duration_us", span->end - span->start);
	log_pair(pairs, "result", span->result);
	log_write(bus->log, LOG_INFO, bus_task_name(from), span->name,
		  span->peer, &span->trace, pairs->str);
	g_string_free(pairs, TRUE);
}

static void log_event(struct bus *bus, enum bus_task from,
		      const struct event_line *event)
{
	log_write(bus->log, (enum log_level)event->level, bus_task_name(from),
		  event->step, event->peer, &event->trace,
		  event->pairs ? event->pairs->str : NULL);
}

int bus_post(struct bus *bus, enum bus_task from, struct msg *msg)
{
	const struct route *r = &routes[msg->type];
	enum bus_task to = r->to;

	if (msg->type == MSG_EVENT || msg->type == MSG_SPAN) {
		if (msg->type == MSG_EVENT)
			log_event(bus, from, &msg->u.event);
		else
			log_span(bus, from, &msg->u.span);
		msg_free(msg);
		return CS_OK;
	}
	if (msg->type == MSG_PEER && from == BUS_PEER)
		to = BUS_CORE;
	if (r->is_new_work)
		return mailbox_post(bus->mailboxes[to], msg);
	mailbox_post_unbounded(bus->mailboxes[to], msg);
	return CS_OK;
}

void bus_request_metrics(struct bus *bus, enum bus_task task, cs_handle caller)
{
	struct msg *msg = msg_new(MSG_METRICS_CALL);

	msg->u.metrics_call.caller = caller;
	mailbox_post_unbounded(bus->mailboxes[task], msg);
}
