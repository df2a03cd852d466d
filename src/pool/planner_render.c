#include <jansson.h>

#include "../config/config_sync.h"
#include "planner_state.h"

static const char *const op_names[] = {
	[PLAN_DRAIN] = "drain",
	[PLAN_EMPTY] = "empty",
	[PLAN_ASSIGN] = "assign",
	[PLAN_REFUSED] = "refused",
};

static const char *const purpose_names[] = {
	[PURPOSE_NONE] = "operator",
	[PURPOSE_MOVE] = "move",
	[PURPOSE_MAINTAIN] = "maintain",
};

/*
 * The document must be the one that was planned on, since steps name hosts and
 * pools by index.
 */
static json_t *render_steps(const struct document *doc, const GArray *steps)
{
	const struct doc_host *hosts;
	const struct doc_pool *pools;
	const struct plan_step *s;
	json_t *list = json_array(), *o;
	size_t nr, pools_nr;
	guint i;

	hosts = document_hosts(doc, &nr);
	pools = document_pools(doc, &pools_nr);
	for (i = 0; i < steps->len; i++) {
		s = &g_array_index(steps, struct plan_step, i);
		o = json_object();
		json_object_set_new(o, "step", json_string(op_names[s->op]));
		json_object_set_new(o, "purpose",
				    json_string(purpose_names[s->purpose]));
		if (s->host >= 0) {
			json_object_set_new(o, "host",
					    json_string(hosts[s->host].name));
			json_object_set_new(o, "from",
					    json_string(hosts[s->host].pool));
		}
		if (s->pool >= 0 && (size_t)s->pool < pools_nr)
			json_object_set_new(o, "pool",
					    json_string(pools[s->pool].name));
		json_object_set_new(o, "reason",
				    json_string(plan_reason_name(s->reason)));
		json_array_append_new(list, o);
	}
	return list;
}

char *planner_render(const struct part_ctx *ctx)
{
	const struct document *doc = config_sync_document(ctx);
	const struct planner *p = ctx->parts.planner;
	json_t *o = json_object();
	char *text, *copy;

	json_object_set_new(o, "planning", json_true());
	json_object_set_new(o, "preset",
			    json_string(preset_name(document_preset(doc))));
	json_object_set_new(o, "revision",
			    json_integer((json_int_t)document_revision(doc)));
	json_object_set_new(o, "steps", render_steps(doc, p->plan->steps));
	json_object_set_new(o, "refusals",
			    render_steps(doc, p->plan->refusals));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	copy = g_strdup(text);
	free(text);
	return copy;
}
