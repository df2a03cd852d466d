#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "../src/config/codec.h"
#include "bench.h"
#include "site.h"

/*
 * Resource use by the size of a site, for docs/CAPACITY.md: memory, messages
 * and processor time at a tenth, a third and the whole of the design size, in
 * virtual time.
 */

#define SEED 7

/* Time for permits, the claims map and the watch to reach a steady state. */
#define SETTLE_TIME (60 * CS_SEC)
#define WINDOW (20 * CS_SEC)

static const struct site_size sizes[] = {
	{ 220, 11, 37, 11 },
	{ 733, 38, 123, 11 },
	{ 2200, 113, 370, 11 },
};

#define FULL_SIZE (G_N_ELEMENTS(sizes) - 1)

/* Two entries in each data centre, a leader and a follower. */
#define ENTRIES 22

static void measure_document(const struct site_size *size)
{
	enum { ROUNDS = 10 };
	struct document *doc = site_document(size);
	GBytes *bytes = document_codec_json.encode(doc);
	GString *errors = g_string_new(NULL);
	struct document *copies[ROUNDS];
	size_t before;
	double us;
	int i;

	printf("document.%d_workers.bytes=%zu\n", size->workers,
	       g_bytes_get_size(bytes));
	us = site_cpu_us();
	before = site_heap_bytes();
	for (i = 0; i < ROUNDS; i++)
		copies[i] = document_codec_json.decode(bytes, "bench", errors);
	printf("document.%d_workers.decode_us=%.0f\n", size->workers,
	       (site_cpu_us() - us) / ROUNDS);
	printf("document.%d_workers.heap_bytes=%zu\n", size->workers,
	       (site_heap_bytes() - before) / ROUNDS);
	us = site_cpu_us();
	for (i = 0; i < ROUNDS; i++)
		document_check(copies[i], errors);
	printf("document.%d_workers.check_us=%.0f\n", size->workers,
	       (site_cpu_us() - us) / ROUNDS);
	us = site_cpu_us();
	for (i = 0; i < ROUNDS; i++)
		g_bytes_unref(document_codec_json.encode(copies[i]));
	printf("document.%d_workers.encode_us=%.0f\n", size->workers,
	       (site_cpu_us() - us) / ROUNDS);
	for (i = 0; i < ROUNDS; i++)
		document_destroy(copies[i]);
	g_string_free(errors, TRUE);
	g_bytes_unref(bytes);
	document_destroy(doc);
}

static int count_in_force(const struct site *s, uint64_t revision)
{
	int i, n = 0;

	for (i = 0; i < s->entries_nr; i++)
		n += entry_revision(s->entries[i].core) >= revision;
	return n;
}

static const char *role_of(const struct site_entry *e)
{
	if (e->index == 0)
		return "watch_holder";
	return e->index < 11 ? "lead" : "follower";
}

static void print_stats(const char *prefix, const struct site_entry *e,
			double seconds)
{
	const struct site_stats *t = &e->stats;
	static const char *const kinds[PEER_KIND_NR] = {
		"heartbeat",	  "summary",	    "config",
		"config_ack",	  "forward",	    "forward_reply",
		"forward_cancel", "claim",	    "claim_reply",
		"claim_copy",	  "claim_copy_ack", "claim_release",
		"job_copy",	  "job_copy_ack"
	};
	uint64_t out = 0, writes, reads;
	char name[96];
	int k;

	for (k = 0; k < PEER_KIND_NR; k++)
		out += t->peer_nr[k];
	writes = t->kv_nr[KV_CAS] + t->kv_nr[KV_DELETE] +
		 t->kv_nr[KV_LEASE_GRANT] + t->kv_nr[KV_LEASE_RENEW];
	reads = t->kv_nr[KV_GET] + t->kv_nr[KV_LIST] + t->kv_nr[KV_HOSTS] +
		t->kv_nr[KV_WATCH];
	g_snprintf(name, sizeof(name), "%s.%s", prefix, role_of(e));
	printf("%s.peer_out_per_s=%.1f\n%s.peer_out_bytes_per_s=%.0f\n", name,
	       (double)out / seconds, name,
	       (double)site_peer_bytes(t) / seconds);
	printf("%s.peer_in_per_s=%.1f\n%s.peer_in_bytes_per_s=%.0f\n", name,
	       (double)t->peer_in / seconds, name,
	       (double)t->peer_in_bytes / seconds);
	for (k = 0; k < PEER_KIND_NR; k++)
		if (t->peer_nr[k])
			printf("%s.out_%s_bytes_per_s=%.0f\n", name, kinds[k],
			       (double)t->peer_bytes[k] / seconds);
	printf("%s.host_list_bytes_per_s=%.0f\n", name,
	       (double)t->hosts_bytes / seconds);
	printf("%s.platform_writes_per_s=%.2f\n%s.platform_reads_per_s=%.2f\n",
	       name, (double)writes / seconds, name, (double)reads / seconds);
	printf("%s.platform_value_bytes_per_s=%.0f\n", name,
	       (double)t->kv_bytes / seconds);
	printf("%s.host_rows_per_s=%.0f\n", name,
	       (double)t->hosts_rows / seconds);
	printf("%s.worker_polls_per_s=%.1f\n", name,
	       (double)t->polls / seconds);
	printf("%s.core_percent=%.3f\n%s.longest_turn_us=%.0f\n", name,
	       t->busy_us / seconds / 1e4, name, t->longest_call_us);
	for (k = 0; k < SITE_CAUSE_NR; k++)
		if (t->cause_us[k] / seconds >= 100)
			printf("%s.cause_%d_percent=%.3f\n", name, k,
			       t->cause_us[k] / seconds / 1e4);
}

/* The watch holder, and the leader and the follower of another data centre. */
static void print_roles(const char *prefix, const struct site *s,
			double seconds)
{
	print_stats(prefix, &s->entries[0], seconds);
	print_stats(prefix, &s->entries[5], seconds);
	print_stats(prefix, &s->entries[16], seconds);
}

static void print_total(const char *prefix, const struct site *s,
			double seconds)
{
	uint64_t nr[KV_HOSTS + 1] = { 0 };
	static const char *const names[KV_HOSTS + 1] = {
		"get",	 "cas",		"delete",      "list",
		"watch", "lease_grant", "lease_renew", "hosts"
	};
	int i, k;

	for (i = 0; i < s->entries_nr; i++)
		for (k = 0; k <= KV_HOSTS; k++)
			nr[k] += s->entries[i].stats.kv_nr[k];
	for (k = 0; k <= KV_HOSTS; k++)
		printf("%s.platform_%s_per_s=%.2f\n", prefix, names[k],
		       (double)nr[k] / seconds);
	for (i = 0, k = 0; i < (int)s->watches->len; i++)
		k += !((const struct site_watch *)g_ptr_array_index(s->watches,
								    i))
			      ->is_ended;
	printf("%s.watches_waiting=%d\n", prefix, k);
}

/* Time until a change is in force, and its cost for entries of each role. */
static void measure_change(struct site *s, const char *prefix)
{
	cs_time began = s->now;
	uint64_t revision;
	int i;

	site_reset_stats(s);
	site_publish_document(s);
	revision = document_revision(s->doc);
	while (count_in_force(s, revision) < s->entries_nr &&
	       s->now - began < 10 * CS_SEC)
		site_run(s, CS_MSEC);
	printf("%s.change_in_force_ms=%.0f\n", prefix,
	       (double)(s->now - began) / (double)CS_MSEC);
	site_run(s, 500 * CS_MSEC);
	for (i = 0; i < s->entries_nr; i++) {
		const struct site_entry *e = &s->entries[i];

		if (i != 0 && i != 5 && i != 16)
			continue;
		printf("%s.%s.change_turn_us=%.0f\n", prefix, role_of(e),
		       e->stats.longest_call_us);
		printf("%s.%s.change_bytes_out=%llu\n", prefix, role_of(e),
		       (unsigned long long)e->stats.peer_bytes[PEER_CONFIG]);
		printf("%s.%s.change_bytes_in=%llu\n", prefix, role_of(e),
		       (unsigned long long)e->stats.peer_in_bytes);
	}
}

static void measure_site(const struct site_size *size)
{
	struct site_load load = { .rate = 50,
				  .run_ms = 50,
				  .claimed_percent = 20 };
	struct site *s = site_create(size, ENTRIES, SEED);
	uint64_t submits = 0, answered = 0;
	double us = 0;
	char prefix[64];
	int i;

	g_snprintf(prefix, sizeof(prefix), "idle.%d_workers", size->workers);
	site_run(s, SETTLE_TIME);
	printf("%s.entries_with_document=%d/%d\n", prefix, count_in_force(s, 1),
	       s->entries_nr);
	site_reset_stats(s);
	site_run(s, WINDOW);
	print_roles(prefix, s, (double)WINDOW / (double)CS_SEC);
	print_total(prefix, s, (double)WINDOW / (double)CS_SEC);
	measure_change(s, prefix);
	g_snprintf(prefix, sizeof(prefix), "loaded.%d_workers", size->workers);
	site_set_load(s, &load);
	site_run(s, SETTLE_TIME);
	site_reset_stats(s);
	site_run(s, WINDOW);
	print_roles(prefix, s, (double)WINDOW / (double)CS_SEC);
	print_total(prefix, s, (double)WINDOW / (double)CS_SEC);
	for (i = 0; i < s->entries_nr; i++) {
		submits += s->entries[i].stats.submits;
		answered += s->entries[i].stats.answered;
		us += s->entries[i].stats.busy_us;
	}
	printf("%s.requests_per_s_per_entry=%.1f\n", prefix,
	       (double)submits / s->entries_nr /
		       ((double)WINDOW / (double)CS_SEC));
	printf("%s.answered_share=%.4f\n", prefix,
	       (double)answered / (double)submits);
	printf("%s.core_us_per_request_all=%.1f\n", prefix,
	       us / (double)submits);
	measure_change(s, prefix);
	site_set_load(s, NULL);
	site_destroy(s);
}

/* Heap memory of a single entry that has the document in force. */
static size_t entry_heap(const struct site_size *size)
{
	struct site *s = site_create(size, 1, SEED);
	size_t with, without;

	site_run(s, SETTLE_TIME);
	with = site_heap_bytes();
	entry_destroy(s->entries[0].core);
	without = site_heap_bytes();
	s->entries[0].core = NULL;
	site_destroy(s);
	malloc_trim(0);
	return with - without;
}

static void measure_memory(void)
{
	const struct site_size *full = &sizes[FULL_SIZE];
	struct site_size larger;
	size_t base, i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		printf("memory.%d_workers.entry_bytes=%zu\n", sizes[i].workers,
		       entry_heap(&sizes[i]));
	base = entry_heap(full);
	larger = *full;
	larger.workers *= 2;
	printf("memory.bytes_per_worker=%.0f\n",
	       (double)(entry_heap(&larger) - base) / full->workers);
	larger = *full;
	larger.teams *= 2;
	printf("memory.bytes_per_team=%.0f\n",
	       (double)(entry_heap(&larger) - base) / full->teams);
	larger = *full;
	larger.pools *= 2;
	printf("memory.bytes_per_pool=%.0f\n",
	       (double)(entry_heap(&larger) - base) / full->pools);
	larger = *full;
	larger.data_centres = 1;
	printf("memory.bytes_all_workers_local=%zu\n", entry_heap(&larger));
}

/* Memory and processor time per request and per claim. */
static void measure_items(void)
{
	enum { N = 8000 };
	struct site_size size = sizes[FULL_SIZE];
	struct site_load never_ending = { .tasks_never_end = true };
	struct site_load short_load = { .run_ms = 5 };
	struct site_entry *e;
	uint64_t answered;
	struct site *s;
	size_t before;
	int i;

	size.data_centres = 1;
	s = site_create(&size, 1, SEED);
	e = &s->entries[0];
	site_run(s, SETTLE_TIME);

	site_set_load(s, &short_load);
	for (i = 0; i < N; i++) {
		site_submit(e, i % size.teams, i % (size.pools - 1), false,
			    false);
		site_run(s, CS_MSEC);
	}
	site_run(s, 2 * CS_SEC);
	before = site_heap_bytes();
	site_reset_stats(s);
	for (i = 0; i < N; i++) {
		site_submit(e, i % size.teams, i % (size.pools - 1), false,
			    false);
		site_run(s, CS_MSEC);
	}
	site_run(s, CS_SEC);
	printf("item.request.answered=%llu/%d\n",
	       (unsigned long long)e->stats.answered, N);
	printf("item.request.core_us=%.1f\n", e->stats.busy_us / N);
	printf("item.request.bytes_kept_afterwards=%.1f\n",
	       ((double)site_heap_bytes() - (double)before) / N);

	site_set_load(s, &never_ending);
	before = site_heap_bytes();
	for (i = 0; i < N; i++)
		site_submit(e, i % size.teams, i % (size.pools - 1), false,
			    false);
	printf("item.request.bytes_open=%.0f\n",
	       ((double)site_heap_bytes() - (double)before) / N);
	site_destroy(s);

	s = site_create(&size, 2, SEED);
	s->load = short_load;
	site_run(s, SETTLE_TIME);
	before = site_heap_bytes();
	site_reset_stats(s);
	for (i = 0; i < N; i++) {
		site_submit(&s->entries[i % 2], i % size.teams,
			    i % (size.pools - 1), true, false);
		site_run(s, CS_MSEC);
	}
	site_run(s, 2 * CS_SEC);
	answered = s->entries[0].stats.answered + s->entries[1].stats.answered;
	printf("item.claim.answered=%llu/%d\n", (unsigned long long)answered,
	       N);
	printf("item.claim.bytes_owner_and_copy=%.0f\n",
	       ((double)site_heap_bytes() - (double)before) / N);
	printf("item.claim.core_us_both_entries=%.1f\n",
	       (s->entries[0].stats.busy_us + s->entries[1].stats.busy_us) / N);
	printf("item.claim.peer_bytes=%.0f\n",
	       (double)(site_peer_bytes(&s->entries[0].stats) +
			site_peer_bytes(&s->entries[1].stats)) /
		       N);
	site_destroy(s);
}

/* Cost of accepting a long job, and per second while it runs. */
static void measure_long_jobs(void)
{
	enum { N = 4000 };
	struct site_size size = sizes[FULL_SIZE];
	struct site_load short_load = { .run_ms = 5 };
	struct site_entry *e;
	struct site *s;
	size_t before;
	double idle;
	int i;

	size.data_centres = 1;
	s = site_create(&size, 1, SEED);
	s->load = short_load;
	e = &s->entries[0];
	site_run(s, SETTLE_TIME);
	site_reset_stats(s);
	site_run(s, WINDOW);
	idle = e->stats.busy_us;
	before = site_heap_bytes();
	site_reset_stats(s);
	for (i = 0; i < N; i++) {
		site_submit(e, i % size.teams, i % (size.pools - 1), false,
			    true);
		site_run(s, 2 * CS_MSEC);
	}
	site_run(s, 2 * CS_SEC);
	printf("item.long_job.accepted=%llu/%d\n",
	       (unsigned long long)e->stats.answered, N);
	printf("item.long_job.bytes=%.0f\n",
	       ((double)site_heap_bytes() - (double)before) / N);
	printf("item.long_job.core_us_accept=%.1f\n", e->stats.busy_us / N);
	printf("item.long_job.platform_writes_accept=%.2f\n",
	       (double)e->stats.kv_nr[KV_CAS] / N);
	site_reset_stats(s);
	site_run(s, WINDOW);
	printf("item.long_job.controls_per_s=%.2f\n",
	       (double)e->stats.controls / N /
		       ((double)WINDOW / (double)CS_SEC));
	printf("item.long_job.platform_writes_per_s=%.4f\n",
	       (double)e->stats.kv_nr[KV_CAS] / N /
		       ((double)WINDOW / (double)CS_SEC));
	printf("item.long_job.core_us_per_s=%.1f\n",
	       (e->stats.busy_us - idle) / N /
		       ((double)WINDOW / (double)CS_SEC));
	site_destroy(s);
}

int bench_slope(void)
{
	size_t i;

	printf("slope.seed=%d\n", SEED);
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_document(&sizes[i]);
	measure_memory();
	measure_items();
	measure_long_jobs();
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_site(&sizes[i]);
	return 0;
}
