#include "order.h"

struct order *order_new(enum order_type type)
{
	struct order *o = g_new0(struct order, 1);

	o->type = type;
	return o;
}

void order_free(struct order *o)
{
	if (!o)
		return;
	g_free(o->payload);
	g_free(o->checkpoint);
	g_free(o->ticket);
	g_free(o->page);
	if (o->servers)
		g_ptr_array_free(o->servers, TRUE);
	g_free(o);
}

bool order_is_for_incarnation(const struct order *o)
{
	return o->type == ORDER_START && o->started_unix_ms;
}

static void run_free(void *row)
{
	struct order_run *r = row;

	g_free(r->checkpoint);
	g_free(r);
}

static void end_free(void *row)
{
	struct order_ended_run *e = row;

	g_free(e->checkpoint);
	g_free(e);
}

static void ticket_free(void *row)
{
	struct order_ticket *t = row;

	g_free(t->ticket);
	g_free(t);
}

struct order_reply *order_reply_new(const struct order *o)
{
	struct order_reply *d = g_new0(struct order_reply, 1);

	d->type = o->type;
	d->ref = o->ref;
	d->server = o->server;
	d->token = o->token;
	d->result = ORDER_NOT_SENT;
	d->clock_ms = -1;
	d->runs = g_ptr_array_new_with_free_func(run_free);
	d->ends = g_ptr_array_new_with_free_func(end_free);
	d->hosts = g_ptr_array_new_with_free_func(g_free);
	d->tickets = g_ptr_array_new_with_free_func(ticket_free);
	return d;
}

void order_reply_free(struct order_reply *d)
{
	if (!d)
		return;
	g_ptr_array_free(d->runs, TRUE);
	g_ptr_array_free(d->ends, TRUE);
	g_ptr_array_free(d->hosts, TRUE);
	g_ptr_array_free(d->tickets, TRUE);
	g_free(d->next_page);
	g_free(d);
}

const char *order_type_name(enum order_type type)
{
	static const char *const names[] = {
		"start",  "stop",	"hold",	     "list_runs",    "pace",
		"advise", "list_hosts", "move_host", "maintain_host"
	};

	return names[type];
}

const char *order_result_name(enum order_result result)
{
	static const char *const names[] = { "done", "refused", "not_sent",
					     "unknown" };

	return names[result];
}

const char *order_reason_name(enum order_reason reason)
{
	static const char *const names[] = {
		"none",	    "fenced",	  "old_run", "late",
		"no_room",  "ticket",	  "busy",    "wave",
		"instance", "overloaded", "invalid", "incarnation"
	};

	return names[reason];
}
