#include <jansson.h>
#include <string.h>

#include "../base/error.h"
#include "../base/json.h"
#include "../fleet/fleet.h"
#include "planner_state.h"

/*
 * Only the entries of a data centre connect to its workers, so the leader of
 * each data centre reports the failed hosts to the planner through the
 * platform.
 */

/*
 * A host stays in the report this long after its last failure, so that a worker
 * that fails and recovers repeatedly does not cause a write each time.
 */
#define REPORT_HOLD (60 * CS_SEC)

/* Least time between two writes, so that one holds the failures of a rack. */
#define REPORT_INTERVAL (10 * CS_SEC)

/*
 * Adds a worker's load to that of its host. A host is idle if all its workers
 * are idle, and failed if one of them has failed.
 */
static void add_worker_load(void *arg, const struct fleet_load *load)
{
	struct part_ctx *ctx = arg;
	struct host_load *row =
		g_hash_table_lookup(ctx->parts.planner->loads, load->host);

	if (!row) {
		row = g_new0(struct host_load, 1);
		row->is_idle = true;
		g_hash_table_insert(ctx->parts.planner->loads,
				    g_strdup(load->host), row);
	}
	row->running += load->running;
	row->is_idle = row->is_idle && load->is_idle;
	if (load->is_failed) {
		row->is_failed = true;
		row->failed_at = ctx->now;
	}
}

void down_report_update_loads(struct part_ctx *ctx)
{
	struct planner *p = ctx->parts.planner;
	struct host_load *row;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->loads);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		row = value;
		row->running = 0;
		row->is_idle = true;
		row->is_failed = row->failed_at &&
				 ctx->now - row->failed_at < REPORT_HOLD;
		if (!row->is_failed)
			g_hash_table_iter_remove(&it);
	}
	fleet_for_each_load(ctx, add_worker_load, ctx);
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the report as JSON, to be freed with free(). */
static char *encode_report(const struct part_ctx *ctx)
{
	GHashTable *loads = ctx->parts.planner->loads;
	json_t *list = json_array();
	const struct host_load *row;
	guint nr, i;
	gpointer *names = g_hash_table_get_keys_as_array(loads, &nr);
	char *text;

	qsort(names, nr, sizeof(*names), compare_names);
	for (i = 0; i < nr; i++) {
		row = g_hash_table_lookup(loads, names[i]);
		if (row->is_failed)
			json_array_append_new(list, json_string(names[i]));
	}
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	g_free(names);
	return text;
}

static void report_key(const struct part_ctx *ctx, char *key, size_t size)
{
	g_snprintf(key, size, DOWN_PREFIX "%s", ctx->options->data_centre);
}

void down_report_send(struct part_ctx *ctx)
{
	struct down_report *r = &ctx->parts.planner->report;
	char key[128], *text;
	struct msg *msg;

	if (ctx->now - r->called_at < REPORT_INTERVAL && r->called_at)
		return;
	report_key(ctx, key, sizeof(key));
	if (!r->is_current || r->is_call_pending) {
		r->is_current = false;
		r->is_call_pending = true;
		r->called_at = ctx->now;
		part_emit(ctx,
			  planner_new_call(ctx, CALL_OWN_REPORT, KV_GET, key));
		return;
	}
	text = encode_report(ctx);
	if (r->stored_text && !strcmp(text, r->stored_text)) {
		free(text);
		return;
	}
	msg = planner_new_call(ctx, CALL_OWN_REPORT, KV_CAS, key);
	msg->u.kv_call.version = r->version;
	msg->u.kv_call.value = g_bytes_new(text, strlen(text));
	g_free(r->sent_text);
	r->sent_text = g_strdup(text);
	free(text);
	r->is_call_pending = true;
	r->called_at = ctx->now;
	part_emit(ctx, msg);
}

void down_report_on_kv(struct part_ctx *ctx, const struct kv_done *done)
{
	struct down_report *r = &ctx->parts.planner->report;
	gsize len;
	const char *data;

	r->is_call_pending = false;
	if (done->op == KV_CAS) {
		r->is_current = done->result == KV_OK;
		if (!r->is_current)
			return;
		r->version = done->version;
		g_free(r->stored_text);
		r->stored_text = r->sent_text;
		r->sent_text = NULL;
		return;
	}
	if (done->result != KV_OK && done->result != KV_MISSING)
		return;
	r->is_current = true;
	r->version = done->result == KV_OK ? done->version : 0;
	/* An empty report need not be written if there is none. */
	g_free(r->stored_text);
	r->stored_text = g_strdup("[]");
	if (done->result == KV_OK && done->rows_nr && done->rows[0].value) {
		data = g_bytes_get_data(done->rows[0].value, &len);
		g_free(r->stored_text);
		r->stored_text = g_strndup(data, len);
	}
	r->called_at = 0; /* so that a changed report is written at once */
}

/*
 * Adds the hosts of another data centre's report. A value that is not a list of
 * names adds nothing.
 */
static void add_reported_hosts(struct planner *p, GBytes *value)
{
	json_t *list = json_from_bytes(value, 0, NULL);
	const char *name;
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		name = json_string_value(json_array_get(list, i));
		if (name)
			g_hash_table_add(p->remote_down, g_strdup(name));
	}
	json_decref(list);
}

void down_report_read_others(struct part_ctx *ctx, const struct kv_done *done)
{
	struct planner *p = ctx->parts.planner;
	char own[128];
	size_t i;

	if (done->result != KV_OK && done->result != KV_MISSING)
		return;
	report_key(ctx, own, sizeof(own));
	g_hash_table_remove_all(p->remote_down);
	for (i = 0; i < done->rows_nr; i++)
		if (done->rows[i].value && strcmp(done->rows[i].key, own) != 0)
			add_reported_hosts(p, done->rows[i].value);
}
