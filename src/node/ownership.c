#include "node_private.h"

#include <inttypes.h>
#include <string.h>

#include "../base/error.h"
#include "../base/log.h"

/*
 * Leader election. The owner's key is written under a lease of the store, so
 * the store removes it when the owner stops renewing the lease. The term rises
 * with each owner and is the first fencing token of its orders. An owner that
 * needs a higher one takes the number of the next term. An owner that has not
 * renewed its lease for OWNER_VALID_US pauses: it neither starts tasks nor
 * extends leases.
 */

/*
 * Time to live of the owner's lease. A shorter one loses the ownership in short
 * outages of the store, a longer one leaves the fleet without decisions after a
 * crash of the owner.
 */
#define OWNER_LEASE_MS 1300
/*
 * Interval of renewals, pause after a failed one, and timeout of one. A renewal
 * does not wait for the reply to the one before, which may be on a dead
 * connection, nor is that given up early: on a full link replies are late.
 */
#define RENEW_US (400 * CS_MSEC)
#define RENEW_RETRY_US (100 * CS_MSEC)
#define RENEW_TIMEOUT_MS OWNER_LEASE_MS
/*
 * How long an owner goes on after the last renewal of its lease. Outages of the
 * store last up to about 9 s, in which no other entry can become the owner
 * either. A larger value would cover longer outages, but a successor waits this
 * long for servers it can't reach. Other writes do not count as renewals: they
 * succeed until the lease ends without prolonging it, so a successor could not
 * tell when the last one was.
 */
#define OWNER_VALID_US (5 * CS_SEC)
/* Leases of servers (see sched_private.h) and their clock error, rounded up. */
#define SERVER_LEASE_US (3700 * CS_MSEC)
/* Entries try to become the owner at different times, to spare the store. */
#define ATTEMPT_SPREAD_US (40 * CS_MSEC)
/* CPU of a typical entry: a quarter of a core, in thousandths. */
#define TYPICAL_CPU_SHARE 250
/*
 * An entry with less CPU than an earlier owner waits this long, so that a
 * larger entry can go first. Noticing that the key is gone, getting a lease and
 * writing the key take a tenth of it.
 */
#define LOW_CPU_DELAY_US (500 * CS_MSEC)
/* About the duration of a rolling restart of a site. */
#define ROLLING_RESTART_US (15 * CS_SEC)
/* Delay of entries that have run for longer than that; see attempt_delay(). */
#define OLD_PROCESS_DELAY_US (100 * CS_MSEC)
/* Pause after a failed attempt. */
#define ATTEMPT_RETRY_US (300 * CS_MSEC)
/* The same after a failed write that was to reserve a fencing token. */
#define TOKEN_RETRY_US (100 * CS_MSEC)

static void start_attempt(struct node *n, cs_time now);

/* The key holds the contact of the owner, by which it knows its own key. */
static char *owner_key_value(const struct node *n)
{
	return relay_contact_format(&n->options.contact);
}

static bool is_own_key(const struct node *n, const struct store_item *item)
{
	char *text = owner_key_value(n);
	gsize size;
	const char *data = g_bytes_get_data(item->value, &size);
	bool is_same = size == strlen(text) && !memcmp(data, text, size);

	g_free(text);
	return is_same;
}

static void on_attempt_due(void *ctx, uint64_t arg, cs_time now)
{
	struct node *n = ctx;

	(void)arg;
	n->owner.timer = 0;
	start_attempt(n, now);
}

/* Schedules an attempt to become the owner unless one is under way. */
static void schedule_attempt(struct node *n, cs_time at)
{
	if (n->is_draining || n->owner.timer || n->owner.call ||
	    n->owner.state != OWNER_FOLLOWER)
		return;
	n->owner.timer = timers_subscribe(n->timers, at, on_attempt_due, n, 0);
}

static int cpu_share(const struct node *n)
{
	return n->options.cpu_share > 0 ? n->options.cpu_share :
					  TYPICAL_CPU_SHARE;
}

/*
 * How long this entry waits before it tries to become the owner. The owner's
 * work grows with the fleet, so entries with more CPU try earlier. So does an
 * entry that has just started: in a rolling restart the older ones are still to
 * be stopped, and each change of the owner interrupts scheduling.
 */
static cs_time attempt_delay(const struct node *n, cs_time now)
{
	int share = cpu_share(n);
	cs_time delay = ATTEMPT_SPREAD_US * TYPICAL_CPU_SHARE / share;
	/* Before the first owner the other entries' CPU is not known. */
	int max_share = n->owner.max_cpu_share ? n->owner.max_cpu_share :
						 TYPICAL_CPU_SHARE;

	if (share < max_share)
		delay += LOW_CPU_DELAY_US;
	if (now - n->started_at > ROLLING_RESTART_US)
		delay += OLD_PROCESS_DELAY_US;
	return delay + g_rand_int_range(n->rng, 0, ATTEMPT_SPREAD_US);
}

static void schedule_attempt_if_free(struct node *n, cs_time now)
{
	if (view_is_synced(n->control) && !n->owner.is_key_present && n->site)
		schedule_attempt(n, now + attempt_delay(n, now));
}

static void on_renewed(void *ctx, uint64_t arg, const struct store_reply *d,
		       cs_time now);

static void on_renewal_due(void *ctx, uint64_t arg, cs_time now);

static void schedule_renewal(struct node *n, cs_time at)
{
	timers_cancel(n->timers, n->owner.timer);
	n->owner.timer = timers_subscribe(n->timers, at, on_renewal_due, n, 0);
}

static void on_renewal_due(void *ctx, uint64_t arg, cs_time now)
{
	struct node *n = ctx;
	struct store_call *c;

	(void)arg;
	c = store_call_new(STORE_KEEP, NULL, RENEW_TIMEOUT_MS);
	c->lease = n->owner.lease;
	store_calls_send(n->calls, c, on_renewed, n, n->owner.lease);
	n->owner.timer = 0;
	schedule_renewal(n, now + RENEW_US);
}

/* The reply to a renewal of that lease, which may be one of a former term. */
static void on_renewed(void *ctx, uint64_t lease, const struct store_reply *d,
		       cs_time now)
{
	struct node *n = ctx;

	if (n->owner.state < OWNER_LOADING || lease != n->owner.lease)
		return;
	if (d->result == STORE_MISSING) {
		owner_lost(n, "the lease has ended", now);
		return;
	}
	if (d->result != STORE_OK) {
		schedule_renewal(n, now + RENEW_RETRY_US);
		return;
	}
	if (d->sent > n->owner.renewed_at)
		n->owner.renewed_at = d->sent;
	owner_confirm(n, d->sent);
}

void owner_confirm(struct node *n, cs_time sent)
{
	if (sent > n->owner.confirmed_at)
		n->owner.confirmed_at = sent;
}

static void log_owner(struct node *n, const char *event, const char *reason)
{
	GString *pairs = g_string_new(NULL);

	log_pair_int(pairs, "term", (int64_t)n->owner.term);
	log_pair_int(pairs, "key_revision", (int64_t)n->owner.key_revision);
	log_pair(pairs, "why", reason);
	node_log(n, event, pairs);
}

/* Tells who the owner is that wrote the key. */
static void report_owner(struct node *n, const struct store_item *item)
{
	char *text = store_text(item->value);
	struct relay_contact contact;
	GString *pairs;

	if (relay_contact_parse(text, &contact)) {
		n->ops->owner_changed(n->ctx, &contact);
	} else {
		pairs = g_string_new(NULL);
		log_pair_int(pairs, "revision", (int64_t)item->revision);
		node_log(n, "owner_unreadable", pairs);
	}
	g_free(text);
}

/* Remembers when an owner was seen first. */
static void note_owner(struct owner *o, uint64_t key_revision, cs_time now)
{
	if (o->seen_nr && o->seen[0].key_revision >= key_revision)
		return;
	o->seen_nr = MIN(o->seen_nr + 1, SEEN_OWNERS_MAX);
	memmove(&o->seen[1], &o->seen[0],
		sizeof(*o->seen) * (size_t)(o->seen_nr - 1));
	o->seen[0].key_revision = key_revision;
	o->seen[0].at = now;
}

/* Begins the term, as the key is now this entry's. */
static void become_owner(struct node *n, uint64_t revision, cs_time sent,
			 cs_time now)
{
	n->owner.state = OWNER_LOADING;
	n->owner.is_key_present = true;
	n->owner.key_revision = revision;
	note_owner(&n->owner, revision, now);
	n->owner.term = n->owner.acquiring_term;
	n->owner.stored_term = MAX(n->owner.stored_term, n->owner.term);
	n->owner.acquired_at = now;
	n->owner.confirmed_at = 0;
	n->ops->owner_changed(n->ctx, &n->options.contact);
	owner_confirm(n, sent);
	log_owner(n, "owner_taken", "nobody held the key");
	counters_add(n->counters, "camphorshed_owner_terms_total", "", 1);
	schedule_renewal(n, sent ? now + RENEW_US : now);
	term_begin(n, now);
}

/* "TERM SHARE": the last term, and the largest CPU share of any owner. */
static GBytes *format_term(const struct node *n, uint64_t term)
{
	char *text = g_strdup_printf("%" PRIu64 " %d", term,
				     MAX(n->owner.max_cpu_share, cpu_share(n)));

	return g_bytes_new_take(text, strlen(text));
}

/* The lease is not released: it expires on its own. */
static void abandon_attempt(struct node *n, cs_time now)
{
	n->owner.state = OWNER_FOLLOWER;
	n->owner.lease = 0;
	if (!n->owner.is_key_present)
		schedule_attempt(n, now + ATTEMPT_RETRY_US);
}

static void on_key_written(void *ctx, uint64_t arg, const struct store_reply *d,
			   cs_time now)
{
	struct node *n = ctx;

	(void)arg;
	n->owner.call = 0;
	if (n->owner.state != OWNER_ACQUIRING)
		return;
	if (d->result == STORE_OK) {
		become_owner(n, d->revision, d->sent, now);
		return;
	}
	/*
	 * A transaction without a reply may still write the key. The view
	 * then shows it, and no other entry can write it until the lease ends.
	 */
	abandon_attempt(n, now);
}

static void on_lease_granted(void *ctx, uint64_t arg,
			     const struct store_reply *d, cs_time now)
{
	struct node *n = ctx;
	struct store_call *c;
	char *text;

	(void)arg;
	n->owner.call = 0;
	if (n->owner.state != OWNER_ACQUIRING)
		return;
	if (d->result != STORE_OK || n->owner.is_key_present) {
		abandon_attempt(n, now);
		return;
	}
	n->owner.lease = d->lease;
	n->owner.renewed_at = d->sent;
	n->owner.acquiring_term = n->owner.stored_term + 1;
	text = owner_key_value(n);
	c = store_call_new(STORE_TXN, NULL, STORE_TIMEOUT_MS);
	store_call_expect(c, KEY_OWNER, 0);
	store_call_expect(c, KEY_TERM, n->owner.term_revision);
	store_call_write(c, KEY_OWNER, g_bytes_new_take(text, strlen(text)),
			 n->owner.lease);
	store_call_write(c, KEY_TERM, format_term(n, n->owner.acquiring_term),
			 0);
	n->owner.call = store_calls_send(n->calls, c, on_key_written, n, 0);
}

/* Asks for a lease; the key is written under it once it is granted. */
static void start_attempt(struct node *n, cs_time now)
{
	struct store_call *c;

	(void)now;
	if (n->owner.state != OWNER_FOLLOWER || n->owner.is_key_present ||
	    n->is_draining)
		return;
	n->owner.state = OWNER_ACQUIRING;
	c = store_call_new(STORE_LEASE, NULL, STORE_TIMEOUT_MS);
	c->wait_ms = OWNER_LEASE_MS;
	if (c->wait_ms < n->options.lease_min_ms)
		c->wait_ms = n->options.lease_min_ms;
	n->owner.call = store_calls_send(n->calls, c, on_lease_granted, n, 0);
}

/* See format_term(). The view may be behind a write of this entry. */
static void read_term(struct node *n, const struct store_item *item)
{
	char *text = store_text(item->value), *rest;
	uint64_t term = g_ascii_strtoull(text, &rest, 10);

	if (item->revision >= n->owner.term_revision) {
		n->owner.stored_term = term;
		n->owner.term_revision = item->revision;
		n->owner.max_cpu_share = (int)g_ascii_strtoll(rest, NULL, 10);
	}
	if (n->owner.state < OWNER_LOADING)
		n->owner.term = n->owner.stored_term;
	g_free(text);
}

static void log_token(struct node *n, uint64_t token)
{
	GString *pairs = g_string_new(NULL);

	log_pair_int(pairs, "term", (int64_t)n->owner.term);
	log_pair_int(pairs, "token", (int64_t)token);
	node_log(n, "token_reserved", pairs);
	counters_add(n->counters, "camphorshed_owner_tokens_total", "", 1);
}

static void on_token_reserved(void *ctx, uint64_t token,
			      const struct store_reply *d, cs_time now)
{
	struct node *n = ctx;

	/* A reply of an earlier term. */
	if (n->owner.state < OWNER_LOADING || token <= n->owner.term)
		return;
	n->owner.is_token_write_open = false;
	if (d->result != STORE_OK) {
		/* The view tells what is stored by then. */
		n->owner.token_not_before = now + TOKEN_RETRY_US;
		return;
	}
	n->owner.stored_term = MAX(n->owner.stored_term, token);
	n->owner.term_revision = MAX(n->owner.term_revision, d->revision);
	owner_confirm(n, d->sent);
	log_token(n, token);
	sched_set_token(n->sched, token, now);
}

/*
 * Reserves a further fencing token for this owner, by a write on the condition
 * that it still is the owner: the first token of a successor is higher.
 */
static void reserve_token(struct node *n, cs_time now)
{
	struct store_call *c;
	uint64_t token = n->owner.stored_term + 1;

	if (n->owner.state < OWNER_LOADING || n->owner.is_releasing ||
	    n->owner.is_token_write_open || now < n->owner.token_not_before ||
	    !sched_needs_token(n->sched))
		return;
	n->owner.is_token_write_open = true;
	c = store_call_new(STORE_TXN, NULL, STORE_TIMEOUT_MS);
	store_call_expect(c, KEY_OWNER, n->owner.key_revision);
	store_call_expect(c, KEY_TERM, n->owner.term_revision);
	store_call_write(c, KEY_TERM, format_term(n, token), 0);
	store_calls_send(n->calls, c, on_token_reserved, n, token);
}

void owner_on_put(struct node *n, const struct store_item *item, cs_time now)
{
	if (!strcmp(item->key, KEY_TERM)) {
		read_term(n, item);
		return;
	}
	if (strcmp(item->key, KEY_OWNER))
		return;
	note_owner(&n->owner, item->revision, now);
	n->owner.is_key_present = true;
	n->owner.seen_revision = item->revision;
	if (is_own_key(n, item)) {
		/* Written by a transaction whose reply was lost or is late. */
		if (n->owner.state < OWNER_LOADING && !n->is_draining) {
			store_calls_forget(n->calls, n->owner.call);
			n->owner.call = 0;
			n->owner.lease = item->lease;
			n->owner.renewed_at = 0;
			become_owner(n, item->revision, 0, now);
		}
		return;
	}
	if (n->owner.state >= OWNER_LOADING &&
	    item->revision > n->owner.key_revision)
		owner_lost(n, "another entry wrote the key", now);
	if (n->owner.state < OWNER_LOADING)
		report_owner(n, item);
	n->owner.is_key_present = true;
}

void owner_on_delete(struct node *n, const char *key, cs_time now)
{
	if (strcmp(key, KEY_OWNER))
		return;
	n->owner.is_key_present = false;
	n->owner.seen_revision = 0;
	if (n->owner.state >= OWNER_LOADING)
		owner_lost(n, "the key was removed", now);
	schedule_attempt_if_free(n, now);
}

void owner_on_synced(struct node *n, cs_time now)
{
	schedule_attempt_if_free(n, now);
}

/* Ends the term without a call to the store. */
static void end_term(struct node *n)
{
	n->owner.state = OWNER_FOLLOWER;
	store_calls_forget(n->calls, n->owner.call);
	n->owner.call = 0;
	timers_cancel(n->timers, n->owner.timer);
	n->owner.timer = 0;
	n->owner.lease = 0;
	n->owner.is_releasing = false;
	n->owner.is_token_write_open = false;
	n->owner.token_not_before = 0;
	term_end(n);
}

void owner_lost(struct node *n, const char *reason, cs_time now)
{
	if (n->owner.state < OWNER_LOADING)
		return;
	/* The view may show a release before its reply comes. */
	if (!n->owner.is_releasing) {
		log_owner(n, "owner_lost", reason);
		counters_add(n->counters, "camphorshed_owner_losses_total", "",
			     1);
	}
	end_term(n);
	schedule_attempt_if_free(n, now);
}

static void log_release(struct node *n, const struct store_reply *d)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "result", store_result_name(d->result));
	node_log(n, "owner_released", pairs);
}

/* A release that the store refused had no effect, so the term goes on. */
static void on_released(void *ctx, uint64_t term, const struct store_reply *d,
			cs_time now)
{
	struct node *n = ctx;

	(void)now;
	log_release(n, d);
	if (n->owner.state < OWNER_LOADING || term != n->owner.term)
		return;
	n->owner.is_releasing = false;
	if (d->result != STORE_REFUSED)
		end_term(n);
}

/*
 * Adds the bounds of the leases of silent servers to the release, as far as
 * there is room. Those left out are still stored again before they are used.
 */
static void add_silent_grants(struct node *n, struct store_call *c, cs_time now)
{
	struct sched_grant grant;

	sched_restart_silent_grants(n->sched);
	while (sched_take_silent_grant(n->sched, &grant))
		if (c->txn_ops->len < STORE_TXN_MAX)
			grant_write(n, c, &grant, now);
}

/*
 * Removes the key, so that another entry can become the owner at once. While
 * the store fails no other entry could, so the term goes on until the store
 * answers again; owner_turn() tries again. From the call to its reply nothing
 * is started or ordered, as a successor may be at work.
 */
void owner_release(struct node *n, cs_time now)
{
	struct store_call *c;

	if (n->owner.state < OWNER_LOADING || n->owner.is_releasing ||
	    n->store_lost_at)
		return;
	n->owner.is_releasing = true;
	c = store_call_new(STORE_TXN, NULL, STORE_TIMEOUT_MS);
	store_call_expect(c, KEY_OWNER, n->owner.key_revision);
	store_call_remove(c, KEY_OWNER);
	add_silent_grants(n, c, now);
	store_calls_send(n->calls, c, on_released, n, n->owner.term);
}

cs_time owner_lease_end(const struct node *n)
{
	if (n->owner.is_releasing)
		return 0;
	return n->owner.renewed_at + OWNER_LEASE_MS * CS_MSEC;
}

void owner_turn(struct node *n, cs_time now)
{
	if (n->owner.is_fenced)
		owner_lost(n, "a later owner was seen", now);
	n->owner.is_fenced = false;
	if (n->owner.state == OWNER_FOLLOWER)
		schedule_attempt_if_free(n, now);
	if (n->is_draining)
		owner_release(n, now);
	reserve_token(n, now);
	if (n->sched)
		sched_confirm_ownership(n->sched, n->owner.confirmed_at,
					n->owner.is_releasing ||
						now - n->owner.renewed_at >
							OWNER_VALID_US);
}

/*
 * The latest end of a server's lease that the predecessors of an owner may have
 * extended. They extend them for OWNER_VALID_US after the last renewal, which
 * was at least the time to live of the store's lease before the owner got its
 * key.
 */
static cs_time predecessor_end(cs_time acquired_at)
{
	return acquired_at + OWNER_VALID_US - OWNER_LEASE_MS * CS_MSEC +
	       SERVER_LEASE_US;
}

cs_time owner_predecessor_end(const struct node *n)
{
	return predecessor_end(n->owner.acquired_at);
}

cs_time owner_unused_lease_end(const struct node *n, uint64_t first)
{
	const struct owner *o = &n->owner;
	int i;

	for (i = 0; first && i < o->seen_nr; i++)
		if (o->seen[i].key_revision == first)
			return predecessor_end(o->seen[i].at);
	return owner_predecessor_end(n);
}

bool owner_is_predecessor(const struct node *n, uint64_t key_revision)
{
	/* seen[0] is this owner. */
	return n->owner.seen_nr > 1 &&
	       n->owner.seen[1].key_revision == key_revision;
}
