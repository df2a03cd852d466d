#include <math.h>
#include <stdlib.h>

#include "plan_round.h"

/*
 * Slots that a host does not serve while it drains and reboots: short tasks
 * end within seconds, and a reboot takes about a minute.
 */
#define MOVE_TIME (90 * CS_SEC)

/* A host that was lent has to come back, at the same price. */
#define MOVES_PER_LOAN 2

/* How far ahead the gain of a move is counted: bursts last for minutes. */
#define GAIN_HORIZON (600 * CS_SEC)

/*
 * Waiting tasks do not say how many slots would do: a backlog of short tasks
 * is gone in seconds once there are a few slots more. So a pool grows to at
 * most this many times its slots in service, and again when those came.
 */
#define GROWTH_MAX 2.0

/* Below this part of its peak, demand falls: what came is clearing it. */
#define FALLING_PART 0.95

/* The hosts of a pool, those that empty first in front. */
struct donor {
	int pool;
	int *hosts;
	int nr, next;
	int spare_slots; /* that the pool can do without */
	bool is_ready; /* the surplus has lasted */
	bool is_spare;
};

struct borrower {
	int pool;
	int shortage; /* slots */
	bool is_cover; /* wants one host while its only one is maintained */
};

struct move_round {
	struct plan_round *r;
	struct donor *donors; /* for each pool */
	struct donor **order; /* donors, the best first */
	size_t order_nr, first; /* donors before first are used up */
	int *hosts; /* all host indices, by pool */
	struct borrower *borrowers;
	size_t borrowers_nr;
};

/* Slots that the pool should keep, by its demand now and of late. */
static double slots_wanted(const struct plan_input *in, size_t pool)
{
	return in->pools[pool].history.peak_demand * in->policy.donor_margin;
}

/* Slots that the pool lacks, counting those on their way. */
static int shortage_of(const struct plan_round *r, int pool)
{
	int wanted = r->in->pools[pool].demand;
	int most = (int)ceil(r->slots_in_service[pool] * GROWTH_MAX);

	/* A pool without any host grows by what it asks for. */
	if (r->slots_in_service[pool] && wanted > most)
		wanted = most;
	return wanted - plan_pool_slots(r, pool);
}

static bool is_falling(const struct plan_pool *p)
{
	return p->demand < p->history.peak_demand * FALLING_PART;
}

/*
 * since is the time from which a condition has held without a break; 0 while it
 * does not.
 */
static void start_or_clear(cs_time *since, bool is_true, cs_time now)
{
	if (!is_true)
		*since = 0;
	else if (!*since)
		*since = now;
}

/* Carries what is remembered of each pool forward to now. */
static void update_memory(struct move_round *m)
{
	struct plan_input *in = m->r->in;
	cs_time half_life = in->policy.peak_half_life;
	struct pool_history *history;
	size_t i;

	for (i = 0; i < in->pools_nr; i++) {
		history = &in->pools[i].history;
		if (!half_life || !history->updated)
			history->peak_demand = 0;
		else
			history->peak_demand *=
				exp2(-(double)(in->now - history->updated) /
				     (double)half_life);
		if (history->peak_demand < in->pools[i].demand)
			history->peak_demand = in->pools[i].demand;
		history->updated = in->now;
		start_or_clear(&history->shortage_since,
			       in->pools[i].demand > m->r->slots_in_service[i],
			       in->now);
		start_or_clear(&history->surplus_since,
			       slots_wanted(in, i) < m->r->slots_in_service[i],
			       in->now);
	}
}

/*
 * Orders host numbers by pool; within a pool the host that is cheapest to give
 * away comes first.
 */
static int compare_hosts(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct plan_input *in = arg;
	const struct plan_host *x = &in->hosts[*(const int *)a];
	const struct plan_host *y = &in->hosts[*(const int *)b];

	if (x->location.pool != y->location.pool)
		return x->location.pool - y->location.pool;
	/* Hosts on loan are passed on or sent home before a pool's own. */
	if ((x->home != x->location.pool) != (y->home != y->location.pool))
		return x->home != x->location.pool ? -1 : 1;
	if (x->running != y->running)
		return x->running - y->running;
	return *(const int *)a - *(const int *)b;
}

/* Spare pools come first, then the pool with the most slots to spare. */
static int compare_donors(const void *a, const void *b)
{
	const struct donor *x = *(struct donor *const *)a;
	const struct donor *y = *(struct donor *const *)b;

	if (x->is_spare != y->is_spare)
		return x->is_spare ? -1 : 1;
	if (x->spare_slots != y->spare_slots)
		return y->spare_slots - x->spare_slots;
	return x->pool - y->pool;
}

static int compare_borrowers(const void *a, const void *b)
{
	const struct borrower *x = a, *y = b;

	if (x->shortage != y->shortage)
		return y->shortage - x->shortage;
	return x->pool - y->pool;
}

/*
 * True if one of two hosts of a pool is late for maintenance: the other one
 * has to stay until that is done. Whether it was lent for this or not makes
 * no difference.
 */
static bool is_covering(const struct plan_round *r, const struct donor *d)
{
	const struct plan_input *in = r->in;
	int i;

	if (!in->policy.period || r->hosts_total[d->pool] != 2)
		return false;
	for (i = 0; i < d->nr; i++)
		if (in->hosts[d->hosts[i]].age >= in->policy.period)
			return true;
	return false;
}

/* Fills the tables of donors and their hosts. */
static void gather_donors(struct move_round *m)
{
	struct plan_round *r = m->r;
	struct plan_input *in = r->in;
	struct donor *d;
	size_t i;

	m->donors = g_new0(struct donor, in->pools_nr + 1);
	m->order = g_new0(struct donor *, in->pools_nr + 1);
	m->hosts = g_new0(int, in->hosts_nr + 1);
	for (i = 0; i < in->hosts_nr; i++)
		m->hosts[i] = (int)i;
	g_qsort_with_data(m->hosts, (int)in->hosts_nr, sizeof(int),
			  compare_hosts, in);
	for (i = 0; i < in->hosts_nr; i++) {
		d = &m->donors[in->hosts[m->hosts[i]].location.pool];
		if (!d->nr++)
			d->hosts = &m->hosts[i];
	}
	for (i = 0; i < in->pools_nr; i++) {
		const struct plan_pool *p = &in->pools[i];

		d = &m->donors[i];
		d->pool = (int)i;
		d->is_spare = p->is_spare;
		d->spare_slots =
			r->slots_in_service[i] - (int)ceil(slots_wanted(in, i));
		d->is_ready = p->is_spare ||
			      (p->history.surplus_since &&
			       in->now - p->history.surplus_since >=
				       in->policy.surplus_delay);
		if (!p->is_spare && is_covering(r, d))
			d->is_ready = false;
		if (d->spare_slots > 0)
			m->order[m->order_nr++] = d;
	}
	qsort(m->order, m->order_nr, sizeof(struct donor *), compare_donors);
}

/*
 * The next host that the donor can do without and that may stop. A host that
 * was refused stays refused for this round, since budgets only shrink in it.
 */
static bool lend_one(struct move_round *m, struct donor *d,
		     const struct borrower *b)
{
	enum plan_reason reason = b->is_cover ? REASON_COVER_SINGLE_HOST :
				  d->is_spare ? REASON_LEND_SPARE :
						REASON_LEND_IDLE;
	const struct plan_host *h;
	int host, slots;

	while (d->next < d->nr) {
		host = d->hosts[d->next];
		h = &m->r->in->hosts[host];
		if (h->slots > d->spare_slots)
			return false;
		/* A pool of work keeps a host, so that it is never without. */
		if (!d->is_spare && m->r->hosts_in_service[d->pool] < 2)
			return false;
		d->next++;
		slots = h->slots;
		if (!plan_can_stop(m->r, host) || !slots ||
		    m->r->in->is_out[h->location.data_centre])
			continue;
		if (plan_add_drain(m->r, host, PURPOSE_MOVE, b->pool, reason)) {
			d->spare_slots -= slots;
			return true;
		}
	}
	return false;
}

/* True if that shortage, served by one host more, is worth a move. */
static bool is_worth_it(const struct plan_input *in, int shortage, int slots)
{
	double gain = (double)(shortage < slots ? shortage : slots) *
		      (double)(GAIN_HORIZON - MOVE_TIME);
	double cost = (double)slots * (double)MOVE_TIME * MOVES_PER_LOAN;

	return gain > cost * in->policy.gain_factor;
}

/* Slots of the donor's next host, 0 if it has none. */
static int next_slots(const struct move_round *m, const struct donor *d)
{
	return d->next < d->nr ? m->r->in->hosts[d->hosts[d->next]].slots : 0;
}

/* Gives the borrower one host. Returns false when it gets no more. */
static bool serve_borrower(struct move_round *m, struct borrower *b)
{
	struct plan_round *r = m->r;
	struct donor *d;
	size_t i;

	while (m->first < m->order_nr &&
	       (!m->order[m->first]->is_ready ||
		m->order[m->first]->next >= m->order[m->first]->nr ||
		m->order[m->first]->spare_slots <= 0))
		m->first++;
	for (i = m->first; i < m->order_nr; i++) {
		d = m->order[i];
		if (!d->is_ready || d->pool == b->pool)
			continue;
		if (next_slots(m, d) &&
		    !is_worth_it(r->in, b->shortage, next_slots(m, d))) {
			plan_add_refusal(r, PURPOSE_MOVE, -1, b->pool,
					 REASON_COST_EXCEEDS_GAIN);
			return false;
		}
		if (lend_one(m, d, b)) {
			b->shortage = shortage_of(r, b->pool);
			return !b->is_cover && b->shortage > 0;
		}
		d->is_ready = false; /* nothing more in this round */
	}
	plan_add_refusal(r, PURPOSE_MOVE, -1, b->pool, REASON_NO_HOST_TO_SPARE);
	return false;
}

/*
 * The only host of a pool may not stop, so when it is late for maintenance
 * the pool borrows another for that time.
 */
static void gather_covers(struct move_round *m)
{
	const struct plan_input *in = m->r->in;
	const struct plan_host *h;
	size_t i;

	for (i = 0; i < in->hosts_nr; i++) {
		struct borrower b = { in->hosts[i].location.pool,
				      in->hosts[i].slots, true };

		h = &in->hosts[i];
		if (h->age >= in->policy.period &&
		    m->r->hosts_total[b.pool] == 1 &&
		    plan_can_stop(m->r, (int)i) &&
		    !m->r->slots_arriving[b.pool] &&
		    !in->pools[b.pool].is_spare &&
		    !in->is_out[h->location.data_centre])
			m->borrowers[m->borrowers_nr++] = b;
	}
}

/*
 * Finds the pools that may ask for hosts. A pool that is short but does not
 * qualify yet gets a refusal with the reason, for the operators.
 */
static void gather_borrowers(struct move_round *m)
{
	const struct plan_input *in = m->r->in;
	const struct plan_policy *policy = &in->policy;
	struct borrower b;
	size_t i;

	/* A pool is short, or is to be covered, or both. */
	m->borrowers = g_new0(struct borrower, 2 * in->pools_nr + 1);
	for (i = 0; i < in->pools_nr; i++) {
		const struct pool_history *history = &in->pools[i].history;

		b.is_cover = false;
		b.pool = (int)i;
		b.shortage = shortage_of(m->r, b.pool);
		if (in->pools[i].is_spare || b.shortage <= 0)
			continue;
		if (in->now - history->shortage_since < policy->shortage_delay)
			plan_add_refusal(m->r, PURPOSE_MOVE, -1, b.pool,
					 REASON_SHORTAGE_TOO_NEW);
		else if (is_falling(&in->pools[i]))
			plan_add_refusal(m->r, PURPOSE_MOVE, -1, b.pool,
					 REASON_DEMAND_FALLING);
		else if ((long)b.shortage * 100 <
			 (long)plan_pool_slots(m->r, b.pool) *
				 policy->burst_min_percent)
			plan_add_refusal(m->r, PURPOSE_MOVE, -1, b.pool,
					 REASON_NOT_A_BURST);
		else
			m->borrowers[m->borrowers_nr++] = b;
	}
	if (policy->period)
		gather_covers(m);
	qsort(m->borrowers, m->borrowers_nr, sizeof(struct borrower),
	      compare_borrowers);
}

/* One host for each borrower in turn, so that none waits for another. */
static void lend(struct move_round *m)
{
	size_t i, kept;

	while (m->borrowers_nr) {
		kept = 0;
		for (i = 0; i < m->borrowers_nr; i++)
			if (serve_borrower(m, &m->borrowers[i]))
				m->borrowers[kept++] = m->borrowers[i];
		m->borrowers_nr = kept;
	}
}

/* Sends hosts home from pools that have done without them for long enough. */
static void send_home(struct move_round *m)
{
	const struct plan_host *h;
	struct donor *d;
	size_t i;

	for (i = 0; i < m->order_nr; i++) {
		d = m->order[i];
		/* Not ready also stands for a donor that budgets refuse. */
		if (!d->is_ready)
			continue;
		for (; d->next < d->nr; d->next++) {
			int host = d->hosts[d->next];

			h = &m->r->in->hosts[host];
			if (h->home == h->location.pool ||
			    h->slots > d->spare_slots)
				break;
			if (plan_can_stop(m->r, host) &&
			    m->r->hosts_in_service[d->pool] > 1 &&
			    plan_add_drain(m->r, host, PURPOSE_MOVE, h->home,
					   REASON_GO_HOME))
				d->spare_slots -= h->slots;
		}
	}
}

void plan_decide_moves(struct plan_round *r)
{
	struct move_round m = { .r = r };

	update_memory(&m);
	gather_donors(&m);
	gather_borrowers(&m);
	lend(&m);
	send_home(&m);
	g_free(m.donors);
	g_free(m.order);
	g_free(m.hosts);
	g_free(m.borrowers);
}
