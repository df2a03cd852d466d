#include "sample_fleet.h"

#include <string.h>

#define NAME(change, ...) g_snprintf((change).name, CS_NAME_MAX, __VA_ARGS__)

void sample_apply(struct document *doc, struct change change)
{
	struct cs_error err = { 0 };

	if (document_apply(doc, &change, &err))
		fail_msg("change %d: %s", (int)change.op, err.message);
}

static void add_host(struct document *doc, int i, int data_centres, int pools)
{
	struct change c = { .op = CHANGE_HOST_SET };
	int k, place = i / data_centres;

	NAME(c, "host-%d", i);
	g_snprintf(c.rack, CS_NAME_MAX, "rack-%d", place / 4);
	g_snprintf(c.data_centre, CS_NAME_MAX, "%c", 'a' + i % data_centres);
	g_snprintf(c.pool, CS_NAME_MAX, "pool-%d", i % pools);
	sample_apply(doc, c);
	for (k = 0; k < 4; k++) {
		struct change w = { .op = CHANGE_WORKER_SET, .slots = 8 };

		memcpy(w.host, c.name, CS_NAME_MAX);
		NAME(w, "worker-%d-%d", i, k);
		g_snprintf(w.address, CS_ADDRESS_MAX, "10.0.%d.%d:%d", i / 250,
			   i % 250 + 1, 8000 + k);
		sample_apply(doc, w);
	}
}

static void add_team(struct document *doc, int i)
{
	struct change c = { .op = CHANGE_TEAM_SET,
			    .share = 1 + i % 7,
			    .limit = 4,
			    .has_digest = true };
	int k;

	NAME(c, "team-%d", i);
	sample_apply(doc, c);
	c.op = CHANGE_KEY_GRANT;
	for (k = 0; k < 2; k++) {
		g_snprintf(c.label, CS_NAME_MAX, "key-%d", k);
		memset(c.digest, 1 + k, CS_DIGEST_LEN);
		memcpy(c.digest, &i, sizeof(i));
		sample_apply(doc, c);
	}
}

struct document *sample_fleet(int data_centres, int hosts, int pools, int teams)
{
	struct document *doc = document_create();
	int i;

	for (i = 0; i < pools; i++) {
		struct change c = { .op = CHANGE_POOL_SET,
				    .budget_percent = 25 };

		NAME(c, "pool-%d", i);
		sample_apply(doc, c);
		c.op = CHANGE_QUEUE_SET;
		memcpy(c.pool, c.name, CS_NAME_MAX);
		NAME(c, "queue-%d", i);
		sample_apply(doc, c);
	}
	for (i = 0; i < hosts; i++)
		add_host(doc, i, data_centres, pools);
	for (i = 0; i < teams; i++)
		add_team(doc, i);
	return doc;
}
