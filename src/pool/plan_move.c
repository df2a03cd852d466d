#include <math.h>
#include <stdlib.h>

#include "plan_round.h"

/*
 * How long the slots of a moving host are out of service: short tasks end
 * within seconds, and a reboot takes about a minute.
 */
#define MOVE_TIME (90 * CS_SEC)

/* A host that is lent has to return, which costs the same again. */
#define MOVES_PER_LOAN 2

/* The gain of a move is counted for this long, since bursts last minutes. */
#define GAIN_HORIZON (600 * CS_SEC)

/*
 * A pool grows by at most this factor of its slots in service at a time. The
 * number of waiting tasks overstates the slots needed: a few more slots clear a
 * backlog of short tasks within seconds.
 */
#define GROWTH_MAX 2.0

/*
 * Demand below this fraction of its peak is falling: the slots in service
 * already reduce it.
 */
#define FALLING_FRACTION 0.95

/* A pool that may give hosts away. */
struct donor {
	int pool;
	int *hosts; /* the cheapest to give away first */
	int nr, next;
	int spare_slots; /* slots above what the pool should keep */
	bool is_ready; /* its surplus has lasted long enough */
	bool is_spare;
};

struct borrower {
	int pool;
	int shortage; /* slots */
	bool is_for_maintenance; /* needs a host while its only one is
				    maintained */
};

struct move_round {
	struct plan_round *r;
	struct donor *donors; /* for each pool */
	struct donor **order; /* donors, the preferred one first */
	size_t order_nr, first; /* donors before first are exhausted */
	int *hosts; /* indices of all hosts, sorted by pool */
	struct borrower *borrowers;
	size_t borrowers_nr;
};

/* Slots that the pool should keep, by its recent peak demand. */
static double slots_to_keep(const struct plan_input *in, size_t pool)
{
	return in->pools[pool].history.peak_demand * in->policy.donor_margin;
}

/* Slots that the pool lacks, beyond those in service or arriving. */
static int pool_shortage(const struct plan_round *r, int pool)
{
	int needed = r->in->pools[pool].demand;
	int max_slots = (int)ceil(r->slots_in_service[pool] * GROWTH_MAX);

	/* A pool without slots in service may grow to its whole demand. */
	if (r->slots_in_service[pool] && needed > max_slots)
		needed = max_slots;
	return needed - plan_pool_slots(r, pool);
}

static bool is_falling(const struct plan_pool *p)
{
	return p->demand < p->history.peak_demand * FALLING_FRACTION;
}

/*
 * Updates *since, the time from which a condition has held without a break, or
 * 0 while it does not hold.
 */
static void update_since(cs_time *since, bool holds, cs_time now)
{
	if (!holds)
		*since = 0;
	else if (!*since)
		*since = now;
}

/* Updates the history of each pool. */
static void update_histories(struct move_round *m)
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
		update_since(&history->shortage_since,
			     in->pools[i].demand > m->r->slots_in_service[i],
			     in->now);
		update_since(&history->surplus_since,
			     slots_to_keep(in, i) < m->r->slots_in_service[i],
			     in->now);
	}
}

/*
 * Orders host indices by pool; within a pool the host that is cheapest to give
 * away comes first.
 */
static int compare_hosts(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct plan_input *in = arg;
	const struct plan_host *x = &in->hosts[*(const int *)a];
	const struct plan_host *y = &in->hosts[*(const int *)b];

	if (x->location.pool != y->location.pool)
		return x->location.pool - y->location.pool;
	/* Borrowed hosts are lent on or returned before a pool's own hosts. */
	if ((x->home != x->location.pool) != (y->home != y->location.pool))
		return x->home != x->location.pool ? -1 : 1;
	if (x->running != y->running)
		return x->running - y->running;
	return *(const int *)a - *(const int *)b;
}

/* Orders spare pools first, then by slots to spare, the most first. */
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
 * True if the pool has two hosts and one of them is overdue for maintenance.
 * The other one, lent for this or not, must stay until the maintenance is done.
 */
static bool has_overdue_host(const struct plan_round *r, const struct donor *d)
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

/* Finds the donors and sorts their hosts. */
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
		d->spare_slots = r->slots_in_service[i] -
				 (int)ceil(slots_to_keep(in, i));
		d->is_ready = p->is_spare ||
			      (p->history.surplus_since &&
			       in->now - p->history.surplus_since >=
				       in->policy.surplus_delay);
		if (!p->is_spare && has_overdue_host(r, d))
			d->is_ready = false;
		if (d->spare_slots > 0)
			m->order[m->order_nr++] = d;
	}
	qsort(m->order, m->order_nr, sizeof(struct donor *), compare_donors);
}

/*
 * Drains the donor's next host that it can spare and that may stop. A host that
 * the budgets refuse is skipped for the rest of the round, in which no tokens
 * are returned.
 */
static bool lend_host(struct move_round *m, struct donor *d,
		      const struct borrower *b)
{
	enum plan_reason reason = b->is_for_maintenance ?
					  REASON_COVER_SINGLE_HOST :
				  d->is_spare ? REASON_LEND_SPARE :
						REASON_LEND_IDLE;
	const struct plan_host *h;
	int host, slots;

	while (d->next < d->nr) {
		host = d->hosts[d->next];
		h = &m->r->in->hosts[host];
		if (h->slots > d->spare_slots)
			return false;
		/* A pool that serves work keeps at least one host. */
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

/* True if the gain of one more host exceeds the cost of the move. */
static bool is_move_worthwhile(const struct plan_input *in, int shortage,
			       int slots)
{
	double gain = (double)(shortage < slots ? shortage : slots) *
		      (double)(GAIN_HORIZON - MOVE_TIME);
	double cost = (double)slots * (double)MOVE_TIME * MOVES_PER_LOAN;

	return gain > cost * in->policy.gain_factor;
}

/* Slots of the donor's next host, or 0 if none is left. */
static int next_host_slots(const struct move_round *m, const struct donor *d)
{
	return d->next < d->nr ? m->r->in->hosts[d->hosts[d->next]].slots : 0;
}

/* Lends the borrower one host. Returns false if it gets no more hosts. */
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
		if (next_host_slots(m, d) &&
		    !is_move_worthwhile(r->in, b->shortage,
					next_host_slots(m, d))) {
			plan_add_refusal(r, PURPOSE_MOVE, -1, b->pool,
					 REASON_COST_EXCEEDS_GAIN);
			return false;
		}
		if (lend_host(m, d, b)) {
			b->shortage = pool_shortage(r, b->pool);
			return !b->is_for_maintenance && b->shortage > 0;
		}
		d->is_ready = false; /* nothing more to lend in this round */
	}
	plan_add_refusal(r, PURPOSE_MOVE, -1, b->pool, REASON_NO_HOST_TO_SPARE);
	return false;
}

/*
 * The only host of a pool may not stop, so the pool borrows another one when it
 * is overdue for maintenance.
 */
static void gather_single_host_pools(struct move_round *m)
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
 * Finds the pools that may borrow hosts. A pool that is short of slots but does
 * not qualify yet gets a refusal, which tells operators the reason.
 */
static void gather_borrowers(struct move_round *m)
{
	const struct plan_input *in = m->r->in;
	const struct plan_policy *policy = &in->policy;
	struct borrower b;
	size_t i;

	/* A pool can be listed twice: for a shortage and for its only host. */
	m->borrowers = g_new0(struct borrower, 2 * in->pools_nr + 1);
	for (i = 0; i < in->pools_nr; i++) {
		const struct pool_history *history = &in->pools[i].history;

		b.is_for_maintenance = false;
		b.pool = (int)i;
		b.shortage = pool_shortage(m->r, b.pool);
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
		gather_single_host_pools(m);
	qsort(m->borrowers, m->borrowers_nr, sizeof(struct borrower),
	      compare_borrowers);
}

/* Lends one host to each borrower in turn, so that all get a part. */
static void lend_hosts(struct move_round *m)
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

/* Returns borrowed hosts from pools with a lasting surplus. */
static void return_hosts(struct move_round *m)
{
	const struct plan_host *h;
	struct donor *d;
	size_t i;

	for (i = 0; i < m->order_nr; i++) {
		d = m->order[i];
		/* Also false if budgets refused all hosts of the donor. */
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

	update_histories(&m);
	gather_donors(&m);
	gather_borrowers(&m);
	lend_hosts(&m);
	return_hosts(&m);
	g_free(m.donors);
	g_free(m.order);
	g_free(m.hosts);
	g_free(m.borrowers);
}
