#include "fleet_private.h"

#include <string.h>

#include "../base/error.h"
#include "../config/config_sync.h"

/*
 * All entries know of a drain at most this long after this entry. Only later
 * reports prove that a worker has no tasks.
 */
#define DRAIN_IN_FORCE_TIME (5 * CS_SEC)

int fleet_pool_running(const struct part_ctx *ctx, const char *pool)
{
	const struct fleet_pool *p = fleet_find_pool(ctx, pool);

	return p ? p->running : 0;
}

int fleet_pool_slots(const struct part_ctx *ctx, const char *pool)
{
	const struct fleet_pool *p = fleet_find_pool(ctx, pool);

	return p ? p->slots : 0;
}

int fleet_pool_workers(const struct part_ctx *ctx, const char *pool)
{
	const struct fleet_pool *p = fleet_find_pool(ctx, pool);

	return p ? p->workers - p->ejected : 0;
}

int fleet_pool_ejected(const struct part_ctx *ctx, const char *pool)
{
	const struct fleet_pool *p = fleet_find_pool(ctx, pool);

	return p ? p->ejected : 0;
}

int fleet_document_slots(const struct part_ctx *ctx, const char *pool,
			 const char *data_centre)
{
	char key[2 * CS_NAME_MAX];

	g_snprintf(key, sizeof(key), "%s %s", pool, data_centre);
	return GPOINTER_TO_INT(
		g_hash_table_lookup(ctx->parts.fleet->document_slots, key));
}

bool fleet_is_host_gone(const struct part_ctx *ctx, const char *name)
{
	return host_list_is_gone(ctx->parts.fleet->hosts, name, ctx->now);
}

bool fleet_is_host_leaving(const struct part_ctx *ctx, const char *host)
{
	return host_list_is_leaving(ctx->parts.fleet->hosts, host);
}

bool fleet_is_host_absent(const struct part_ctx *ctx, const char *host)
{
	return host_list_is_absent(ctx->parts.fleet->hosts, host);
}

bool fleet_is_host_live(const struct part_ctx *ctx, const char *host)
{
	return host_list_is_live(ctx->parts.fleet->hosts, host);
}

/*
 * A report counts only if it was made after all entries knew of the drain,
 * since they may have started tasks until then.
 */
static bool is_worker_idle(const struct worker_row *w)
{
	return !w->is_usable && !w->own.tasks && !w->reported_running &&
	       w->reported_at > w->usable_changed_at + DRAIN_IN_FORCE_TIME;
}

void fleet_for_each_load(const struct part_ctx *ctx,
			 void (*fn)(void *arg, const struct fleet_load *load),
			 void *arg)
{
	struct slots *workers = ctx->parts.fleet->workers;
	const struct worker_row *w;
	struct fleet_load load;
	cs_handle h;

	for (h = slots_next(workers, 0); h; h = slots_next(workers, h)) {
		w = fleet_get_worker(ctx, h);
		/* A removed worker counts until its last task has ended. */
		if (w->is_removed && !w->own.tasks)
			continue;
		load.host = w->host;
		load.running = w->own.tasks + w->other_tasks;
		load.is_idle = is_worker_idle(w);
		load.is_failed = !w->is_removed &&
				 w->health.state == HEALTH_EJECTED;
		fn(arg, &load);
	}
}

static const char *worker_state(const struct worker_row *w)
{
	if (!w->is_usable)
		return "draining";
	if (w->health.is_unreachable && w->health.state != HEALTH_GOOD)
		return "unreachable";
	return health_state_name(w->health.state);
}

static int compare_rows(gconstpointer a, gconstpointer b)
{
	const struct worker_row *const *x = a, *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

void fleet_describe(const struct part_ctx *ctx, GString *json)
{
	struct fleet *f = ctx->parts.fleet;
	GPtrArray *rows = g_ptr_array_new();
	const struct worker_row *w;
	cs_handle h;
	guint i;

	for (h = slots_next(f->workers, 0); h; h = slots_next(f->workers, h))
		g_ptr_array_add(rows, fleet_get_worker(ctx, h));
	g_ptr_array_sort(rows, compare_rows);
	g_string_append_c(json, '[');
	for (i = 0; i < rows->len; i++) {
		w = g_ptr_array_index(rows, i);
		g_string_append_printf(
			json,
			"%s{\"name\":\"%s\",\"pool\":\"%s\",\"host\":\"%s\","
			"\"state\":\"%s\",\"slots\":%d,\"running\":%d,"
			"\"others\":%d}",
			i ? "," : "", w->name, w->pool->name, w->host,
			worker_state(w), w->slots, w->own.tasks,
			w->other_tasks);
	}
	g_string_append_c(json, ']');
	g_ptr_array_free(rows, TRUE);
}
