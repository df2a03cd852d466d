#include "part.h"

#include <inttypes.h>
#include <string.h>

#include "../base/error.h"
#include "../base/slots.h"
#include "../config/codec.h"
#include "../config/config_sync.h"
#include "../fleet/fleet.h"
#include "../job/dispatch.h"
#include "../job/long_work.h"
#include "../ledger/ledger_sync.h"
#include "../pool/planner.h"

/*
 * Requests of operators. Changes and waits are answered later; each has a row
 * in a table until then.
 */

/* Calls that may wait for an answer; far more than operators send. */
#define WAITING_CALLS_MAX 256

/* How often a wait checks whether its revision is in force everywhere. */
#define WAIT_INTERVAL (100 * CS_MSEC)

/*
 * A wait is answered after this time, with the state reached, even if its
 * revision is not in force. It must stay below ctl's shortest timeout of 1 s,
 * or ctl could not distinguish that case from an entry that does not answer.
 */
#define WAIT_TIMEOUT (500 * CS_MSEC)

struct waiting_call {
	cs_handle caller;
	uint64_t revision;
	cs_time until;
};

struct admin_part {
	struct slots *calls;
};

/* Takes ownership of the JSON text. */
static void reply_json(struct part_ctx *ctx, cs_handle caller, int status,
		       GString *json)
{
	struct msg *msg = msg_new(MSG_ADMIN_REPLY);

	msg->u.admin_reply.caller = caller;
	msg->u.admin_reply.status = status;
	msg->u.admin_reply.body = g_string_free_to_bytes(json);
	part_emit(ctx, msg);
}

/* Appends a JSON string with its quotes. */
static void json_string(GString *out, const char *s)
{
	g_string_append_c(out, '"');
	for (; *s; s++) {
		if (*s == '"' || *s == '\\')
			g_string_append_printf(out, "\\%c", *s);
		else if ((unsigned char)*s < ' ')
			g_string_append_printf(out, "\\u%04x",
					       (unsigned char)*s);
		else
			g_string_append_c(out, *s);
	}
	g_string_append_c(out, '"');
}

/* Maps the result of a change to an HTTP status. */
static int http_status(int code)
{
	switch (code) {
	case CS_OK:
		return 200;
	case CS_ERR_CONFLICT:
		return 409;
	case CS_ERR_INVALID:
	case CS_ERR_MISSING:
		return 422;
	case CS_ERR_TIMEOUT:
		return 504;
	default:
		return 503;
	}
}

/*
 * Answers an operator whose change was accepted or refused. An accepted change
 * is not yet in force; ADMIN_WAIT waits for that.
 */
static void on_change_done(struct part_ctx *ctx, uint64_t ref, int code,
			   uint64_t revision, const char *detail)
{
	struct waiting_call *call = slots_get(ctx->parts.admin->calls, ref);
	GString *json;

	if (!call)
		return;
	json = g_string_new(NULL);
	g_string_append_printf(json,
			       "{\"accepted\":%s,\"revision\":%" PRIu64
			       ",\"code\":\"%s\",\"detail\":",
			       code ? "false" : "true", revision,
			       cs_code_name(code));
	json_string(json, detail ? detail : "");
	g_string_append_c(json, '}');
	reply_json(ctx, call->caller, http_status(code), json);
	slots_free(ctx->parts.admin->calls, ref);
}

/*
 * Appends one object for each data centre, with the lowest revision in force
 * at its entries. Returns true if none of them is below revision.
 */
static bool describe_revisions(struct part_ctx *ctx, uint64_t revision,
			       GString *json)
{
	const struct document *doc = config_sync_document(ctx);
	const struct entry_options *o = ctx->options;
	const struct doc_data_centre *dc;
	bool all = true, is_first = true;
	size_t nr, i, e;

	dc = document_data_centres(doc, &nr);
	for (i = 0; i < nr; i++) {
		uint64_t lowest = UINT64_MAX;
		cs_time age = 0, oldest = 0;

		if (!strcmp(dc[i].name, o->data_centre))
			lowest = document_revision(doc);
		for (e = 0; e < o->peers_nr; e++) {
			uint64_t r;

			if (strcmp(o->peers[e].data_centre, dc[i].name))
				continue;
			r = config_sync_peer_revision(ctx, o->peers[e].id,
						      &age);
			lowest = MIN(lowest, r);
			oldest = MAX(oldest, age);
		}
		if (lowest == UINT64_MAX)
			continue; /* no entries there */
		all = all && lowest >= revision;
		g_string_append_printf(
			json,
			"%s{\"name\":\"%s\",\"revision\":%" PRIu64
			",\"in_force\":%s,\"age_ms\":%" PRId64 "}",
			is_first ? "" : ",", dc[i].name, lowest,
			lowest >= revision ? "true" : "false",
			oldest / CS_MSEC);
		is_first = false;
	}
	return all;
}

/*
 * Answers once the revision is in force everywhere or the time is up; until
 * then checks again every WAIT_INTERVAL.
 */
static void check_wait(void *arg, uint64_t handle, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct waiting_call *call = slots_get(ctx->parts.admin->calls, handle);
	GString *data_centres, *json;
	bool is_in_force;

	ctx->now = now;
	if (!call)
		return;
	data_centres = g_string_new(NULL);
	is_in_force = describe_revisions(ctx, call->revision, data_centres);
	if (!is_in_force && now < call->until) {
		g_string_free(data_centres, TRUE);
		timers_subscribe(ctx->timers, now + WAIT_INTERVAL, check_wait,
				 ctx, handle);
		return;
	}
	json = g_string_new(NULL);
	g_string_append_printf(json,
			       "{\"in_force\":%s,\"revision\":%" PRIu64
			       ",\"data_centres\":[%s]}",
			       is_in_force ? "true" : "false", call->revision,
			       data_centres->str);
	g_string_free(data_centres, TRUE);
	reply_json(ctx, call->caller, 200, json);
	slots_free(ctx->parts.admin->calls, handle);
}

/*
 * Permits, running and queued work are counted at this entry only. Names need
 * no escaping, since the rules of the document restrict their characters.
 */
static void describe_teams(struct part_ctx *ctx, GString *json)
{
	const struct doc_team *team;
	struct dispatch_totals totals;
	size_t nr, i;

	team = document_teams(config_sync_document(ctx), &nr);
	for (i = 0; i < nr; i++) {
		totals = dispatch_team_totals(ctx, team[i].name);
		g_string_append_printf(
			json,
			"%s{\"name\":\"%s\",\"share\":%d,\"limit\":%d,"
			"\"keys\":%zu,\"permits\":%d,\"running\":%d,"
			"\"queued\":%d}",
			i ? "," : "", team[i].name, team[i].share,
			team[i].limit, team[i].keys_nr,
			ledger_sync_held(ctx, team[i].name), totals.running,
			totals.queued);
	}
}

/*
 * Slots and ejected workers are counted in this data centre, running tasks at
 * this entry.
 */
static void describe_pools(struct part_ctx *ctx, GString *json)
{
	const struct doc_pool *pool;
	size_t nr, i;

	pool = document_pools(config_sync_document(ctx), &nr);
	for (i = 0; i < nr; i++)
		g_string_append_printf(
			json,
			"%s{\"name\":\"%s\",\"spare\":%s,\"slots_here\":%d,"
			"\"running_here\":%d,\"ejected_here\":%d}",
			i ? "," : "", pool[i].name,
			pool[i].is_spare ? "true" : "false",
			fleet_pool_slots(ctx, pool[i].name),
			fleet_pool_running(ctx, pool[i].name),
			fleet_pool_ejected(ctx, pool[i].name));
}

/* Answers with this entry's state as one JSON document. */
static void on_status(struct part_ctx *ctx, const struct admin_call *call)
{
	const struct document *doc = config_sync_document(ctx);
	GString *json = g_string_new(NULL);

	g_string_append_printf(
		json,
		"{\"entry\":\"%s\",\"data_centre\":\"%s\",\"preset\":\"%s\","
		"\"revision\":%" PRIu64 ",\"platform_up\":%s,\"isolated\":%s,"
		"\"draining\":%s,\"long_jobs\":%d,\"data_centres\":[",
		ctx->options->id, ctx->options->data_centre,
		preset_name(document_preset(doc)), document_revision(doc),
		config_sync_is_platform_up(ctx) ? "true" : "false",
		config_sync_is_isolated(ctx) ? "true" : "false",
		ctx->is_draining ? "true" : "false", long_work_count(ctx));
	describe_revisions(ctx, document_revision(doc), json);
	g_string_append(json, "],\"pools\":[");
	describe_pools(ctx, json);
	g_string_append(json, "],\"teams\":[");
	describe_teams(ctx, json);
	g_string_append(json, "],\"workers\":");
	fleet_describe(ctx, json);
	g_string_append_c(json, '}');
	reply_json(ctx, call->caller, 200, json);
}

/*
 * Readiness probe of load balancers: ready from the first document read until
 * the drain begins.
 */
static void on_ready(struct part_ctx *ctx, const struct admin_call *call)
{
	bool is_ready = !ctx->is_draining &&
			document_revision(config_sync_document(ctx));

	reply_json(ctx, call->caller, is_ready ? 200 : 503,
		   g_string_new(is_ready ? "{\"ready\":true}" :
					   "{\"ready\":false}"));
}

static void on_config_get(struct part_ctx *ctx, const struct admin_call *call)
{
	struct msg *msg = msg_new(MSG_ADMIN_REPLY);

	msg->u.admin_reply.caller = call->caller;
	msg->u.admin_reply.status = 200;
	msg->u.admin_reply.body =
		document_codec_json.encode(config_sync_document(ctx));
	part_emit(ctx, msg);
}

/*
 * Allocates a row for a call that is answered later. Returns 0 after refusing
 * the call because the table is full.
 */
static cs_handle alloc_call(struct part_ctx *ctx, const struct admin_call *call)
{
	struct waiting_call *row;
	cs_handle h;

	h = slots_alloc(ctx->parts.admin->calls, (void **)&row);
	if (!h) {
		reply_json(ctx, call->caller, 503,
			   g_string_new("{\"error\":\"too_many_calls\"}"));
		return 0;
	}
	row->caller = call->caller;
	row->revision = call->revision;
	row->until = ctx->now + WAIT_TIMEOUT;
	return h;
}

static void on_change(struct part_ctx *ctx, const struct admin_call *call)
{
	cs_handle h = alloc_call(ctx, call);

	if (h)
		config_sync_change(ctx, h, call->changes, call->changes_nr,
				   call->revision, call->is_dry_run,
				   on_change_done);
}

/*
 * Replaces the whole document if it is valid and its revision is still the one
 * that the operator expects. All faults are reported at once.
 */
static void on_apply(struct part_ctx *ctx, const struct admin_call *call)
{
	GString *faults = g_string_new(NULL);
	struct document *doc;
	cs_handle h;

	doc = document_codec_json.decode(call->body, "request", faults);
	h = alloc_call(ctx, call);
	if (h && !doc)
		on_change_done(ctx, h, CS_ERR_INVALID, 0, faults->str);
	else if (h)
		config_sync_replace(ctx, h, doc, call->revision,
				    call->is_dry_run, on_change_done);
	document_destroy(doc);
	g_string_free(faults, TRUE);
}

static void on_wait(struct part_ctx *ctx, const struct admin_call *call)
{
	cs_handle h = alloc_call(ctx, call);

	if (h)
		check_wait(ctx, h, ctx->now);
}

static void on_plan(struct part_ctx *ctx, const struct admin_call *call)
{
	GString *json = g_string_new(NULL);

	planner_describe(ctx, json);
	reply_json(ctx, call->caller, 200, json);
}

static void on_history(struct part_ctx *ctx, const struct admin_call *call)
{
	GString *json = g_string_new(NULL);

	config_sync_history(ctx, json);
	reply_json(ctx, call->caller, 200, json);
}

/* A call of an unknown operation is dropped without an answer. */
static void admin_on_msg(struct part_ctx *ctx, struct msg *msg)
{
	static void (*const handlers[])(struct part_ctx *,
					const struct admin_call *) = {
		[ADMIN_STATUS] = on_status,
		[ADMIN_READY] = on_ready,
		[ADMIN_CONFIG_GET] = on_config_get,
		[ADMIN_CHANGE] = on_change,
		[ADMIN_APPLY] = on_apply,
		[ADMIN_WAIT] = on_wait,
		[ADMIN_PLAN] = on_plan,
		[ADMIN_HISTORY] = on_history,
	};
	const struct admin_call *call = &msg->u.admin_call;

	if ((unsigned)call->op < G_N_ELEMENTS(handlers))
		handlers[call->op](ctx, call);
}

static int admin_create(struct part_ctx *ctx, struct cs_error *err)
{
	struct admin_part *a = g_new0(struct admin_part, 1);

	ctx->parts.admin = a;
	a->calls = slots_create(sizeof(struct waiting_call), WAITING_CALLS_MAX);
	if (!a->calls)
		return cs_error_set(err, CS_ERR_NOMEM, "admin", NULL,
				    "out of memory");
	return CS_OK;
}

static void admin_destroy(struct part_ctx *ctx)
{
	if (!ctx->parts.admin)
		return;
	slots_destroy(ctx->parts.admin->calls);
	g_free(ctx->parts.admin);
	ctx->parts.admin = NULL;
}

const struct part_ops admin_part = {
	.name = "admin",
	.create = admin_create,
	.destroy = admin_destroy,
	.on_msg = admin_on_msg,
};
