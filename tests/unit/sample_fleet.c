#include "sample_fleet.h"

#include <string.h>

#define SET_NAME(change, ...)                                                  \
	g_snprintf((change).name, CS_NAME_MAX, __VA_ARGS__)

void sample_apply(struct document *doc, struct change change)
{
	struct cs_error err = { 0 };

	if (document_apply(doc, &change, &err))
		fail_msg("change %d: %s", (int)change.op, err.message);
}

void sample_pool(struct document *doc, const char *name, bool is_spare,
		 int budget_percent)
{
	struct change c = { .op = CHANGE_POOL_SET,
			    .is_spare = is_spare,
			    .budget_percent = budget_percent };

	SET_NAME(c, "%s", name);
	sample_apply(doc, c);
}

void sample_host(struct document *doc, const char *name, const char *rack,
		 const char *data_centre, const char *pool)
{
	struct change c = { .op = CHANGE_HOST_SET };

	SET_NAME(c, "%s", name);
	g_strlcpy(c.rack, rack, CS_NAME_MAX);
	g_strlcpy(c.data_centre, data_centre, CS_NAME_MAX);
	g_strlcpy(c.pool, pool, CS_NAME_MAX);
	sample_apply(doc, c);
}

void sample_worker(struct document *doc, const char *name, const char *host,
		   const char *address, int slots)
{
	struct change c = { .op = CHANGE_WORKER_SET, .slots = slots };

	SET_NAME(c, "%s", name);
	g_strlcpy(c.host, host, CS_NAME_MAX);
	g_strlcpy(c.address, address, CS_ADDRESS_MAX);
	sample_apply(doc, c);
}

void sample_team(struct document *doc, const char *name, int share, int limit)
{
	struct change c = { .op = CHANGE_TEAM_SET,
			    .share = share,
			    .limit = limit };

	SET_NAME(c, "%s", name);
	sample_apply(doc, c);
}

static void add_host(struct document *doc, int i, int data_centres, int pools)
{
	const char data_centre[] = { (char)('a' + i % data_centres), '\0' };
	char host[32], rack[32], pool[32], worker[32], address[32];
	int k;

	g_snprintf(host, sizeof(host), "host-%d", i);
	g_snprintf(rack, sizeof(rack), "rack-%d", i / data_centres / 4);
	g_snprintf(pool, sizeof(pool), "pool-%d", i % pools);
	sample_host(doc, host, rack, data_centre, pool);
	for (k = 0; k < 4; k++) {
		g_snprintf(worker, sizeof(worker), "worker-%d-%d", i, k);
		g_snprintf(address, sizeof(address), "10.0.%d.%d:%d", i / 250,
			   i % 250 + 1, 8000 + k);
		sample_worker(doc, worker, host, address, 8);
	}
}

static void add_team(struct document *doc, int i)
{
	struct change c = { .op = CHANGE_KEY_GRANT, .has_digest = true };
	int k;

	SET_NAME(c, "team-%d", i);
	sample_team(doc, c.name, 1 + i % 7, 4);
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
		struct change c = { .op = CHANGE_QUEUE_SET };

		g_snprintf(c.pool, CS_NAME_MAX, "pool-%d", i);
		sample_pool(doc, c.pool, false, 25);
		SET_NAME(c, "queue-%d", i);
		sample_apply(doc, c);
	}
	for (i = 0; i < hosts; i++)
		add_host(doc, i, data_centres, pools);
	for (i = 0; i < teams; i++)
		add_team(doc, i);
	return doc;
}
