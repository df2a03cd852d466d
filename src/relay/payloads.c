#include "payloads.h"

#include <glib.h>
#include <string.h>

#include "../batch/batch.h"

/* Two seconds of jobs at 128 a second; 1 MB with the longest payloads. */
#define PAYLOADS_MAX 256u

struct payloads {
	GHashTable *rows; /* job -> payload */
	GQueue jobs; /* keys of rows, the oldest first */
};

struct payloads *payloads_create(void)
{
	struct payloads *p = g_new0(struct payloads, 1);

	p->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return p;
}

void payloads_destroy(struct payloads *p)
{
	if (!p)
		return;
	g_queue_clear(&p->jobs);
	g_hash_table_destroy(p->rows);
	g_free(p);
}

/* The name of a task begins with the identifier of its job. */
static void job_of_task(const char *task, char job[BATCH_ID_MAX])
{
	g_strlcpy(job, task, BATCH_ID_MAX);
}

void payloads_add(struct payloads *p, const char *task, const char *payload)
{
	char job[BATCH_ID_MAX], *key;

	job_of_task(task, job);
	if (g_hash_table_contains(p->rows, job))
		return;
	if (g_queue_get_length(&p->jobs) == PAYLOADS_MAX)
		g_hash_table_remove(p->rows, g_queue_pop_head(&p->jobs));
	key = g_strdup(job);
	g_hash_table_insert(p->rows, key, g_strdup(payload));
	g_queue_push_tail(&p->jobs, key);
}

const char *payloads_find(const struct payloads *p, const char *task)
{
	char job[BATCH_ID_MAX];

	job_of_task(task, job);
	return g_hash_table_lookup(p->rows, job);
}
