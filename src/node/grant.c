#include "node_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "../base/log.h"

/*
 * Stored grants: which servers may have got orders of an owner. The key ends
 * with the identifier of the server, and the value begins with the name of the
 * pool. An identifier may be as long as the store's keys allow for the server's
 * own record, so that it does not fit into the longer key of a grant; that key
 * then ends with its hash, and the value has it.
 *
 * The parts of a value are separated by NUL: the pool, the identifier or
 * nothing, a bound of the leases that the server may have, if it was silent
 * when the last owner wrote it, and "LONGEST STARTED", in Unix milliseconds:
 * when leases have ended that orders gave by the clock of a former incarnation,
 * and the start of the one that the owner knew; 0: none. The bound
 * is "FIRST OWNER LEFT_MS": it was written by the owner whose key has the
 * revision OWNER, no lease lasts longer than LEFT_MS after that, and no owner
 * from FIRST on has used the server; 0: OWNER has. An earlier version reads the
 * pool only, and uses a server without storing its grant again, so the bound
 * counts only for the next owner.
 */

/* Marks a key that ends with a hash. No identifier is stored after it. */
#define HASH_MARK '~'
/* A longer time is not from an owner: the longest lease has ten minutes. */
#define LEFT_MAX_MS (INT64_C(11) * 60 * 1000)
/* By how much the clocks of two entries may differ: steps of 2 s occur. */
#define CLOCK_SKEW_MS 2500

static bool is_hashed(const char *id)
{
	return *id == HASH_MARK ||
	       strlen(KEY_GRANTS) + strlen(id) >= STORE_KEY_MAX;
}

char *grant_key(const char *id)
{
	XXH128_hash_t hash;

	if (!is_hashed(id))
		return g_strconcat(KEY_GRANTS, id, NULL);
	hash = XXH3_128bits(id, strlen(id));
	return g_strdup_printf(KEY_GRANTS "%c%016" PRIx64 "%016" PRIx64,
			       HASH_MARK, (uint64_t)hash.high64,
			       (uint64_t)hash.low64);
}

static void append_bound(GString *value, const struct node *n,
			 const struct sched_grant *grant, cs_time now)
{
	/* Rounded up. */
	int64_t left_ms = MAX(grant->lease_end - now, 0) / CS_MSEC + 1;

	g_string_append_printf(value, "%" PRIu64 " %" PRIu64 " %" PRId64,
			       grant->unused_since, n->owner.key_revision,
			       left_ms);
}

static int64_t unix_ms_at(const struct node *n, cs_time at, cs_time now)
{
	return node_unix_ms(n, now) + (at - now) / CS_MSEC;
}

void grant_write(const struct node *n, struct store_call *call,
		 const struct sched_grant *grant, cs_time now)
{
	GString *value = g_string_new(grant->pool);
	char *key = grant_key(grant->id);
	int64_t longest_unix_ms = 0;

	g_string_append_c(value, '\0');
	if (is_hashed(grant->id))
		g_string_append(value, grant->id);
	g_string_append_c(value, '\0');
	if (grant->is_bounded)
		append_bound(value, n, grant, now);
	if (grant->longest_end > now)
		longest_unix_ms =
			unix_ms_at(n, grant->longest_end, now) + CLOCK_SKEW_MS;
	g_string_append_c(value, '\0');
	g_string_append_printf(value, "%" PRId64 " %" PRIu64, longest_unix_ms,
			       grant->started_unix_ms);
	store_call_write(call, key, g_string_free_to_bytes(value), 0);
	g_free(key);
}

/* The next part of a value, which the caller frees; "" after the last one. */
static char *take_part(const char **at, const char *end)
{
	const char *nul = *at < end ? memchr(*at, '\0', (size_t)(end - *at)) :
				      NULL;
	char *part = g_strndup(*at, (gsize)((nul ? nul : end) - *at));

	*at = nul ? nul + 1 : end;
	return part;
}

struct loaded_grant *grant_read(const struct store_item *item, cs_time now)
{
	struct loaded_grant *g = g_new0(struct loaded_grant, 1);
	gsize size;
	const char *at = g_bytes_get_data(item->value, &size);
	const char *end = at + size;
	char *bound, *incarnation;

	g->revision = item->revision;
	g->read_at = now;
	g->pool = take_part(&at, end);
	g->id = take_part(&at, end);
	bound = take_part(&at, end);
	incarnation = take_part(&at, end);
	if (!*g->id) {
		g_free(g->id);
		g->id = g_strdup(item->key + strlen(KEY_GRANTS));
	}
	g->is_bounded = sscanf(bound, "%" SCNu64 " %" SCNu64 " %" SCNd64,
			       &g->unused_first, &g->owner, &g->left_ms) == 3 &&
			g->left_ms >= 0 && g->left_ms <= LEFT_MAX_MS;
	if (sscanf(incarnation, "%" SCNd64 " %" SCNu64, &g->longest_unix_ms,
		   &g->started_unix_ms) != 2) {
		g->longest_unix_ms = g->started_unix_ms = 0;
		g->is_longest_unreadable = *incarnation != '\0';
	}
	g_free(bound);
	g_free(incarnation);
	return g;
}

static void log_unreadable(struct node *n, const struct loaded_grant *loaded)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "server", loaded->id);
	log_pair(pairs, "pool", loaded->pool);
	log_pair(pairs, "message", "the longest lease can't be read");
	node_log(n, "grant_unreadable", pairs);
}

/*
 * The end of a lease by a former clock; 0: none, or it is over. One that can't
 * be read counts as given just now.
 */
static cs_time read_longest_end(const struct node *n,
				const struct loaded_grant *loaded)
{
	int64_t left_ms =
		loaded->longest_unix_ms - node_unix_ms(n, loaded->read_at);

	if (loaded->is_longest_unreadable)
		left_ms = n->options.limits.server_lease_max_ms + CLOCK_SKEW_MS;
	return left_ms > 0 ?
		       loaded->read_at + MIN(left_ms, LEFT_MAX_MS) * CS_MSEC :
		       0;
}

void grant_add(struct node *n, const struct loaded_grant *loaded)
{
	struct sched_grant grant = { .id = loaded->id,
				     .pool = loaded->pool,
				     .revision = loaded->revision,
				     .lease_end = owner_predecessor_end(n),
				     .longest_end = read_longest_end(n, loaded),
				     .started_unix_ms = loaded->started_unix_ms,
				     .is_bounded = loaded->is_bounded };

	if (loaded->is_longest_unreadable)
		log_unreadable(n, loaded);
	if (n->owner.term == 1)
		grant.lease_end = 0; /* the first owner has no predecessor */
	if (loaded->is_bounded && owner_is_predecessor(n, loaded->owner)) {
		grant.lease_end =
			MIN(grant.lease_end,
			    loaded->read_at + loaded->left_ms * CS_MSEC);
		grant.lease_end =
			MIN(grant.lease_end,
			    owner_unused_lease_end(n, loaded->unused_first));
		grant.unused_since = loaded->unused_first;
	}
	grant.lease_end = MAX(grant.lease_end, grant.longest_end);
	sched_server_granted(n->sched, &grant);
}

void loaded_grant_free(void *row)
{
	struct loaded_grant *g = row;

	g_free(g->id);
	g_free(g->pool);
	g_free(g);
}
