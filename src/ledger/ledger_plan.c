#include "ledger_plan.h"

#include <string.h>

/*
 * An entry that has work for its permits gives up some of them only after
 * others have lacked permits for this long, so that idle permits move first.
 */
#define CONTENTION_DELAY (2 * CS_SEC)

/*
 * Unused permits above the base share return to the reserve after this time.
 * Bursts of requests are about as far apart, and fetching a permit again
 * costs a write.
 */
#define IDLE_RETURN_DELAY (30 * CS_SEC)

/* A refusal counts as one waiting request for this long. */
#define REFUSAL_DEMAND_TIME (2 * CS_SEC)

/* Permits of one team over all documents, as seen by this entry. */
struct team_stats {
	int64_t limit;
	int64_t held; /* by this entry */
	int64_t own_demand; /* permits that its work could use */
	int64_t other_demand; /* what the other live entries hold or want */
	int64_t unreachable; /* held by entries that are not live */
	int64_t others_wanted; /* what the other live entries want */
	int64_t available; /* to be divided: the limit less unreachable */
	int64_t total_demand; /* own_demand and other_demand */
	int64_t fair_share; /* of this entry, in proportion to its demand */
	int64_t local_shortage; /* of the others in this data centre */
	int64_t remote_shortage; /* uncovered, of the other data centres */
	int64_t reserve_debt; /* negative balance, less transfers to it */
	bool any_starved; /* an entry that wants permits holds none */
};

/* The enum lists the urgencies in rising order. */
static enum ledger_urgency more_urgent(enum ledger_urgency a,
				       enum ledger_urgency b)
{
	return a > b ? a : b;
}

/* The document of an account, or NULL if it was not read. */
static const struct ledger *find_account(const struct ledger_plan_input *in,
					 const struct ledger *own,
					 const char *account)
{
	guint i;

	if (!strcmp(account, own->account))
		return own;
	if (!strcmp(account, LEDGER_RESERVE))
		return in->reserve;
	for (i = 0; i < in->others->len; i++) {
		const struct ledger *l = g_ptr_array_index(in->others, i);

		if (!strcmp(l->account, account))
			return l;
	}
	return NULL;
}

/* Permits of a team that sender has sent to an account, not yet received. */
static int64_t in_transit_from(const struct ledger_plan_input *in,
			       const struct ledger *own,
			       const struct ledger *sender, const char *account,
			       const char *team)
{
	const struct ledger *receiver = find_account(in, own, account);
	uint64_t last_id =
		receiver ? ledger_last_received(receiver, sender->account) : 0;
	int64_t sum = 0;
	guint i;

	for (i = 0; i < sender->outgoing->len; i++) {
		const struct ledger_transfer *t = &g_array_index(
			sender->outgoing, struct ledger_transfer, i);

		if (t->id > last_id && !strcmp(t->to, account) &&
		    !strcmp(t->team, team))
			sum += t->amount;
	}
	return sum;
}

/* Permits of a team that are in transit to an account from any other. */
static int64_t in_transit_to(const struct ledger_plan_input *in,
			     const struct ledger *own, const char *account,
			     const char *team)
{
	int64_t sum = in_transit_from(in, own, own, account, team);
	guint i;

	if (in->reserve)
		sum += in_transit_from(in, own, in->reserve, account, team);
	for (i = 0; i < in->others->len; i++)
		sum += in_transit_from(in, own,
				       g_ptr_array_index(in->others, i),
				       account, team);
	return sum;
}

static bool is_self(const struct ledger_plan_input *in,
		    const struct ledger_holder *h)
{
	return h->incarnation == in->incarnation &&
	       !strcmp(h->entry, in->entry);
}

/* The holding of a team if the holder is another live entry. */
static const struct ledger_holding *live_holding(
	const struct ledger_plan_input *in, const struct ledger_holder *h,
	const char *team)
{
	if (is_self(in, h) || h->mark ||
	    !in->is_live(in->ctx, h->entry, h->incarnation))
		return NULL;
	return ledger_find_holding(h, team);
}

/* Adds what the holders of one document hold and want. */
static void add_holder_demand(const struct ledger_plan_input *in,
			      struct team_stats *st, const struct ledger *l,
			      const char *team)
{
	guint i;

	for (i = 0; i < l->holders->len; i++) {
		const struct ledger_holder *h =
			&g_array_index(l->holders, struct ledger_holder, i);
		const struct ledger_holding *s = live_holding(in, h, team);

		if (s) {
			st->other_demand += s->balance + s->wanted;
			st->others_wanted += s->wanted;
			st->any_starved |= s->wanted && !s->balance;
		} else if (!is_self(in, h)) {
			s = ledger_find_holding(h, team);
			st->unreachable += s ? s->balance : 0;
		}
	}
}

/* Permits due to a demand: all of it, or its proportion if they are scarce. */
static int64_t proportional_share(const struct team_stats *st, int64_t demand)
{
	return st->total_demand <= st->available ?
		       demand :
		       st->available * demand / st->total_demand;
}

/* Permits that the other live entries lack to reach their fair shares. */
static int64_t shortage_in(const struct ledger_plan_input *in,
			   const struct team_stats *st, const struct ledger *l,
			   const char *team)
{
	int64_t shortage = 0;
	guint i;

	for (i = 0; i < l->holders->len; i++) {
		const struct ledger_holding *s = live_holding(
			in, &g_array_index(l->holders, struct ledger_holder, i),
			team);

		if (s && s->wanted)
			shortage += MAX(0, proportional_share(
						   st, s->balance + s->wanted) -
						   s->balance);
	}
	return shortage;
}

/*
 * The shortage of another data centre that neither its balance nor transfers
 * to it cover. Transfers are added up only if the balance is not enough: their
 * lists can hold thousands of rows, and most teams have no shortage.
 */
static int64_t uncovered_shortage(const struct ledger_plan_input *in,
				  const struct team_stats *st,
				  const struct ledger *own,
				  const struct ledger *l, const char *team)
{
	int64_t shortage = shortage_in(in, st, l, team);

	if (shortage > 0)
		shortage -= ledger_balance(l, team);
	if (shortage > 0)
		shortage -= in_transit_to(in, own, l->account, team);
	return MAX(0, shortage);
}

/* Waiting tasks; a recent refusal counts as one if none wait. */
static int64_t effective_waiting(const struct ledger_plan_input *in,
				 const struct ledger_usage *usage)
{
	if (!usage->waiting && usage->refused_at &&
	    in->now - usage->refused_at < REFUSAL_DEMAND_TIME)
		return 1;
	return usage->waiting;
}

/* Collects the numbers of a team from all documents. */
static struct team_stats collect_stats(const struct ledger_plan_input *in,
				       const struct ledger *own,
				       const struct ledger_usage *usage)
{
	const char *team = usage->team;
	const struct ledger_holding *holding = ledger_find_holding(
		ledger_find_holder(own, in->entry, in->incarnation), team);
	const struct ledger_team *t =
		in->reserve ? ledger_find_team(in->reserve, team) : NULL;
	struct team_stats st = { 0 };
	guint i;

	st.limit = t ? t->limit : 0;
	st.held = holding ? holding->balance : 0;
	/* Work beyond the limit does not raise the fair share. */
	st.own_demand =
		usage->used + MIN(effective_waiting(in, usage), st.limit);
	add_holder_demand(in, &st, own, team);
	for (i = 0; i < in->others->len; i++)
		add_holder_demand(in, &st, g_ptr_array_index(in->others, i),
				  team);
	st.available = MAX(0, st.limit - st.unreachable);
	st.total_demand = st.other_demand + st.own_demand;
	st.fair_share = proportional_share(&st, st.own_demand);
	st.local_shortage = shortage_in(in, &st, own, team);
	for (i = 0; i < in->others->len; i++)
		st.remote_shortage += uncovered_shortage(
			in, &st, own, g_ptr_array_index(in->others, i), team);
	if (t && t->balance < 0)
		st.reserve_debt = MAX(
			0, -t->balance - in_transit_to(in, own, LEDGER_RESERVE,
						       team));
	return st;
}

int64_t ledger_base_share(const struct ledger_plan_input *in, int64_t limit)
{
	if (in->is_draining)
		return 0;
	return limit / in->entries_nr + (in->rank < limit % in->entries_nr);
}

/*
 * Permits that this entry keeps when others want some: those its work can use,
 * or its fair share if the reserve is in debt or the others have lacked
 * permits for CONTENTION_DELAY.
 */
static int64_t permits_to_keep(const struct ledger_plan_input *in,
			       struct ledger_usage *usage,
			       const struct team_stats *st)
{
	int64_t keep = st->fair_share, slack;

	if (keep == st->own_demand ||
	    (!st->others_wanted && !st->reserve_debt)) {
		usage->contended_since = 0;
		return st->own_demand;
	}
	if (st->reserve_debt)
		return keep;
	/* Hysteresis: permits don't move for small differences. */
	slack = st->any_starved ? 0 : 1 + keep / 8;
	if (st->held - keep <= slack) {
		usage->contended_since = 0;
		return st->own_demand;
	}
	if (!usage->contended_since)
		usage->contended_since = in->now;
	return in->now - usage->contended_since < CONTENTION_DELAY ?
		       st->own_demand :
		       keep;
}

/*
 * Assigns permits of the account's balance to this entry, for waiting work or
 * up to its base share.
 */
static enum ledger_urgency assign_permits(const struct ledger_plan_input *in,
					  struct ledger *own,
					  struct ledger_holder *self,
					  const struct ledger_usage *usage,
					  struct team_stats *st)
{
	int64_t free = ledger_balance(own, usage->team);
	int64_t need = st->own_demand - st->held, n;
	int64_t base = ledger_base_share(in, st->limit) - st->held;
	enum ledger_urgency urgency = LEDGER_WRITE_NOW;

	if (free <= 0 || st->reserve_debt)
		return LEDGER_WRITE_NONE;
	if (need > 0) {
		/* Its fair share, and what the others' shortages leave. */
		n = MAX(0, st->fair_share - st->held) +
		    MAX(0, free - st->local_shortage - st->remote_shortage);
		n = MIN(n, need);
	} else if (base > 0 && !st->others_wanted) {
		n = base;
		urgency = LEDGER_WRITE_DEFERRED;
	} else {
		return LEDGER_WRITE_NONE;
	}
	n = MIN(n, free);
	if (ledger_assign(own, self, usage->team, n))
		return LEDGER_WRITE_NONE;
	st->held += n;
	return urgency;
}

/* Returns up to n unused permits to the account's balance. */
static int64_t unassign_free(struct ledger *own, struct ledger_holder *self,
			     const struct ledger_usage *usage,
			     struct team_stats *st, int64_t n)
{
	n = MIN(n, st->held - usage->used);
	if (n <= 0 || ledger_unassign(own, self, usage->team, n))
		return 0;
	st->held -= n;
	return n;
}

/*
 * Sends up to n permits to an account: from the balance first, then unused
 * ones of this entry above keep. Returns how many were sent.
 */
static int64_t send_surplus(struct ledger *own, struct ledger_holder *self,
			    const struct ledger_usage *usage,
			    struct team_stats *st, const char *to, int64_t n,
			    int64_t keep)
{
	int64_t balance = ledger_balance(own, usage->team);

	if (n > balance)
		unassign_free(own, self, usage, st,
			      MIN(n - balance, st->held - keep));
	n = MIN(n, ledger_balance(own, usage->team));
	if (n <= 0 || ledger_send(own, usage->team, to, n))
		return 0;
	return n;
}

/*
 * Sends permits to the other data centres that lack some: unused ones of this
 * entry above keep, and those of the balance that nobody here lacks.
 */
static enum ledger_urgency cover_remote_shortages(
	const struct ledger_plan_input *in, struct ledger *own,
	struct ledger_holder *self, const struct ledger_usage *usage,
	struct team_stats *st, int64_t keep)
{
	enum ledger_urgency urgency = LEDGER_WRITE_NONE;
	guint i;

	for (i = 0; i < in->others->len; i++) {
		const struct ledger *l = g_ptr_array_index(in->others, i);
		int64_t shortage =
			uncovered_shortage(in, st, own, l, usage->team);
		int64_t spare =
			ledger_balance(own, usage->team) - st->local_shortage -
			MAX(0, st->fair_share - st->held) +
			CLAMP(st->held - keep, 0, st->held - usage->used);

		if (send_surplus(own, self, usage, st, l->account,
				 MIN(shortage, spare), keep))
			urgency = LEDGER_WRITE_SOON;
	}
	return urgency;
}

/* Sends permits to the reserve that were unused for IDLE_RETURN_DELAY. */
static enum ledger_urgency return_idle(const struct ledger_plan_input *in,
				       struct ledger *own,
				       struct ledger_holder *self,
				       struct ledger_usage *usage,
				       struct team_stats *st)
{
	int64_t keep = MAX(st->own_demand, ledger_base_share(in, st->limit));
	int64_t n = MAX(0, st->held - keep) + ledger_balance(own, usage->team);

	if (!n || !in->reserve) {
		usage->idle_since = 0;
		return LEDGER_WRITE_NONE;
	}
	if (!usage->idle_since)
		usage->idle_since = in->now;
	if (in->now - usage->idle_since < IDLE_RETURN_DELAY && !in->is_draining)
		return LEDGER_WRITE_NONE;
	if (!send_surplus(own, self, usage, st, LEDGER_RESERVE, n, keep))
		return LEDGER_WRITE_NONE;
	return in->is_draining ? LEDGER_WRITE_NOW : LEDGER_WRITE_DEFERRED;
}

/*
 * Sends or returns permits that this entry need not keep: to the reserve if
 * that is in debt, else to entries and data centres that lack some.
 */
static enum ledger_urgency release_surplus(const struct ledger_plan_input *in,
					   struct ledger *own,
					   struct ledger_holder *self,
					   struct ledger_usage *usage,
					   struct team_stats *st)
{
	int64_t keep = permits_to_keep(in, usage, st), held = st->held;
	int64_t shortage =
		MAX(0, st->local_shortage - ledger_balance(own, usage->team));
	enum ledger_urgency urgency = LEDGER_WRITE_NONE;
	int64_t total_shortage =
		st->reserve_debt + shortage + st->remote_shortage;

	if (st->reserve_debt &&
	    send_surplus(own, self, usage, st, LEDGER_RESERVE, st->reserve_debt,
			 keep))
		urgency = LEDGER_WRITE_SOON;
	if (shortage &&
	    unassign_free(own, self, usage, st, MIN(shortage, st->held - keep)))
		urgency = LEDGER_WRITE_SOON;
	if (st->remote_shortage && !st->reserve_debt)
		urgency = more_urgent(urgency,
				      cover_remote_shortages(in, own, self,
							     usage, st, keep));
	/* Withholding has an effect only if work waits for these permits. */
	usage->withheld = 0;
	if (keep < st->own_demand)
		usage->withheld =
			(int)CLAMP(MIN(held - keep, total_shortage), 0, held);
	if (total_shortage) {
		usage->idle_since = 0;
		return urgency;
	}
	return more_urgent(urgency, return_idle(in, own, self, usage, st));
}

/*
 * Records in the document how many more permits this entry could use. Between
 * two numbers above 0, a change by up to half the old one, plus one, is not
 * worth a write of its own. urgency is that of the team's other changes; the
 * result includes it.
 */
static enum ledger_urgency update_wanted(const struct ledger_plan_input *in,
					 const struct ledger *own,
					 struct ledger_holder *self,
					 const struct ledger_usage *usage,
					 const struct team_stats *st,
					 enum ledger_urgency urgency)
{
	const struct ledger_holding *s = ledger_find_holding(self, usage->team);
	int64_t old = s ? s->wanted : 0;
	int64_t n = st->own_demand - st->held;

	if (n > 0)
		n -= in_transit_to(in, own, own->account, usage->team);
	/* Permits in the reserve are fetched without asking other entries. */
	if (in->reserve)
		n -= MAX(0, ledger_balance(in->reserve, usage->team));
	n = CLAMP(n, 0, st->limit);
	if (n == old)
		return urgency;
	if (urgency == LEDGER_WRITE_NONE && n && old &&
	    ABS(n - old) <= 1 + old / 2)
		return urgency;
	ledger_set_wanted(self, usage->team, n);
	return more_urgent(urgency,
			   n > old ? LEDGER_WRITE_NOW : LEDGER_WRITE_DEFERRED);
}

/* Marks dead and superseded holders, and reclaims them when it is safe. */
static enum ledger_urgency reclaim_dead_holders(
	const struct ledger_plan_input *in, struct ledger *own)
{
	enum ledger_urgency urgency = LEDGER_WRITE_NONE;
	guint i = 0;

	while (i < own->holders->len) {
		struct ledger_holder *h =
			&g_array_index(own->holders, struct ledger_holder, i);

		if (is_self(in, h) ||
		    (!ledger_is_superseded(own, h->entry, h->incarnation) &&
		     !in->is_dead(in->ctx, h->entry))) {
			i++;
			continue;
		}
		if (!h->mark) {
			ledger_mark_dead(own, h);
			urgency = LEDGER_WRITE_DEFERRED;
		} else if (in->can_reclaim(in->ctx, h)) {
			char entry[CS_NAME_MAX];

			memcpy(entry, h->entry, sizeof(entry));
			ledger_reclaim(own, entry, h->incarnation);
			urgency = LEDGER_WRITE_DEFERRED;
			continue;
		}
		i++;
	}
	return urgency;
}

/* Credits transfers from peer, and removes transfers that peer has credited. */
static enum ledger_urgency reconcile_transfers(struct ledger *l,
					       const struct ledger *peer)
{
	int64_t credited;
	size_t removed;

	if (!strcmp(peer->account, l->account))
		return LEDGER_WRITE_NONE;
	credited = ledger_receive(l, peer);
	removed = ledger_remove_received(l, peer);
	return credited || removed ? LEDGER_WRITE_DEFERRED : LEDGER_WRITE_NONE;
}

/* Reconciles the transfers of l with every other document. */
static enum ledger_urgency reconcile_all_transfers(
	const struct ledger_plan_input *in, struct ledger *l,
	const struct ledger *own)
{
	enum ledger_urgency urgency = reconcile_transfers(l, own);
	guint i;

	if (in->reserve)
		urgency = more_urgent(urgency,
				      reconcile_transfers(l, in->reserve));
	for (i = 0; i < in->others->len; i++)
		urgency = more_urgent(
			urgency, reconcile_transfers(
					 l, g_ptr_array_index(in->others, i)));
	return urgency;
}

/* Removes the row of this draining entry once it holds nothing. */
static enum ledger_urgency remove_own_holder(const struct ledger_plan_input *in,
					     struct ledger *own)
{
	const struct ledger_holder *self =
		ledger_find_holder(own, in->entry, in->incarnation);
	guint i;

	if (!self)
		return LEDGER_WRITE_NONE;
	for (i = 0; i < self->holdings->len; i++)
		if (g_array_index(self->holdings, struct ledger_holding, i)
			    .balance)
			return LEDGER_WRITE_NONE;
	ledger_reclaim(own, in->entry, in->incarnation);
	return LEDGER_WRITE_NOW;
}

enum ledger_urgency ledger_plan_own(struct ledger_plan_input *in,
				    struct ledger *own)
{
	enum ledger_urgency urgency = reconcile_all_transfers(in, own, own);
	struct ledger_holder *self;
	guint i;

	if (in->is_draining &&
	    !ledger_find_holder(own, in->entry, in->incarnation))
		return LEDGER_WRITE_NONE;
	urgency = more_urgent(urgency, reclaim_dead_holders(in, own));
	if (!ledger_find_holder(own, in->entry, in->incarnation))
		urgency = more_urgent(urgency, LEDGER_WRITE_SOON);
	self = ledger_add_holder(own, in->entry, in->incarnation);
	if (self->mark) {
		ledger_clear_mark(self);
		urgency = LEDGER_WRITE_NOW;
	}
	for (i = 0; i < in->usages->len; i++) {
		struct ledger_usage *usage =
			&g_array_index(in->usages, struct ledger_usage, i);
		struct team_stats st = collect_stats(in, own, usage);
		enum ledger_urgency team_urgency =
			assign_permits(in, own, self, usage, &st);

		team_urgency =
			more_urgent(team_urgency,
				    release_surplus(in, own, self, usage, &st));
		team_urgency =
			update_wanted(in, own, self, usage, &st, team_urgency);
		urgency = more_urgent(urgency, team_urgency);
	}
	if (in->run_ms > self->run_ms) {
		self->run_ms = in->run_ms;
		urgency = LEDGER_WRITE_NOW;
	} else if (urgency != LEDGER_WRITE_NONE) {
		/* Lowering it alone is not worth a write. */
		self->run_ms = in->run_ms;
	}
	return in->is_draining ?
		       more_urgent(urgency, remove_own_holder(in, own)) :
		       urgency;
}

/* Sends permits of a team from the reserve to this entry's data centre. */
static enum ledger_urgency send_from_reserve(const struct ledger_plan_input *in,
					     struct ledger *reserve,
					     const struct ledger *own,
					     const struct ledger_usage *usage)
{
	int64_t balance = ledger_balance(reserve, usage->team);
	enum ledger_urgency urgency = LEDGER_WRITE_NOW;
	struct team_stats st;
	int64_t here, need;

	if (balance <= 0)
		return LEDGER_WRITE_NONE;
	st = collect_stats(in, own, usage);
	here = st.held + ledger_balance(own, usage->team) +
	       in_transit_to(in, own, own->account, usage->team);
	need = st.own_demand - here;
	if (need <= 0) {
		if (st.others_wanted)
			return LEDGER_WRITE_NONE;
		need = ledger_base_share(in, st.limit) - here;
		urgency = LEDGER_WRITE_DEFERRED;
	}
	if (need <= 0 ||
	    ledger_send(reserve, usage->team, own->account, MIN(need, balance)))
		return LEDGER_WRITE_NONE;
	return urgency;
}

enum ledger_urgency ledger_plan_reserve(struct ledger_plan_input *in,
					struct ledger *reserve,
					const struct ledger *own,
					uint64_t revision,
					const struct ledger_limit *limits,
					size_t limits_nr)
{
	enum ledger_urgency urgency = reconcile_all_transfers(in, reserve, own);
	const struct ledger *saved = in->reserve;
	guint i;

	if (!ledger_set_limits(reserve, revision, limits, limits_nr))
		urgency = more_urgent(urgency, LEDGER_WRITE_SOON);
	in->reserve = reserve;
	for (i = 0; i < in->usages->len; i++)
		urgency = more_urgent(
			urgency,
			send_from_reserve(in, reserve, own,
					  &g_array_index(in->usages,
							 struct ledger_usage,
							 i)));
	in->reserve = saved;
	return urgency;
}
