#include "ledger_plan.h"

#include <string.h>

/*
 * An entry that has work for its permits gives a part of them up only after
 * others have lacked theirs for this long: idle permits move first.
 */
#define CONTENDED_AFTER (2 * CS_SEC)

/*
 * Unused permits above the base go back after this time. Bursts are about
 * as far apart, and a permit that went back costs a write to get again.
 */
#define IDLE_AFTER (30 * CS_SEC)

/* A refusal counts as one waiting request for this long. */
#define ASKED_FOR (2 * CS_SEC)

/* Figures of one team over all documents, as seen by this entry. */
struct figures {
	int64_t limit;
	int64_t held; /* by this entry */
	int64_t busy; /* permits that its work could use */
	int64_t demand; /* what the other live entries hold or want */
	int64_t locked; /* held by entries that do not answer */
	int64_t wanted; /* by the other live entries */
	int64_t total; /* to be divided: the limit, less what is locked */
	int64_t all; /* demand of all live entries */
	int64_t part; /* of this entry, in proportion to its demand */
	int64_t lack_here; /* of the others in this data centre */
	int64_t lack_elsewhere; /* of the other data centres, uncovered */
	int64_t debt; /* of the reserve, less what is on its way there */
	bool starved; /* an entry that wants permits holds none */
};

/* The urgencies are in rising order. */
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

/* Permits of a team that giver has sent to an account, not yet received. */
static int64_t sent_to(const struct ledger_plan_input *in,
		       const struct ledger *own, const struct ledger *sender,
		       const char *account, const char *team)
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

/* The same from every giver. */
static int64_t on_way_to(const struct ledger_plan_input *in,
			 const struct ledger *own, const char *account,
			 const char *team)
{
	int64_t sum = sent_to(in, own, own, account, team);
	guint i;

	if (in->reserve)
		sum += sent_to(in, own, in->reserve, account, team);
	for (i = 0; i < in->others->len; i++)
		sum += sent_to(in, own, g_ptr_array_index(in->others, i),
			       account, team);
	return sum;
}

static bool is_self(const struct ledger_plan_input *in,
		    const struct ledger_holder *h)
{
	return h->incarnation == in->incarnation &&
	       !strcmp(h->entry, in->entry);
}

/* The share row of a team, if it belongs to another live entry. */
static const struct ledger_share *live_share(const struct ledger_plan_input *in,
					     const struct ledger_holder *h,
					     const char *team)
{
	if (is_self(in, h) || h->mark ||
	    !in->is_live(in->ctx, h->entry, h->incarnation))
		return NULL;
	return ledger_find_share(h, team);
}

/* Adds the holders of one document. */
static void add_holders(const struct ledger_plan_input *in, struct figures *f,
			const struct ledger *l, const char *team)
{
	guint i;

	for (i = 0; i < l->holders->len; i++) {
		const struct ledger_holder *h =
			&g_array_index(l->holders, struct ledger_holder, i);
		const struct ledger_share *s = live_share(in, h, team);

		if (s) {
			f->demand += s->balance + s->wanted;
			f->wanted += s->wanted;
			f->starved |= s->wanted && !s->balance;
		} else if (!is_self(in, h)) {
			s = ledger_find_share(h, team);
			f->locked += s ? s->balance : 0;
		}
	}
}

/* Part of the total that falls to a demand. */
static int64_t part_of(const struct figures *f, int64_t demand)
{
	return f->all <= f->total ? demand : f->total * demand / f->all;
}

/* What the live entries of a document lack of their parts. */
static int64_t lack_in(const struct ledger_plan_input *in,
		       const struct figures *f, const struct ledger *l,
		       const char *team)
{
	int64_t lack = 0;
	guint i;

	for (i = 0; i < l->holders->len; i++) {
		const struct ledger_share *s = live_share(
			in, &g_array_index(l->holders, struct ledger_holder, i),
			team);

		if (s && s->wanted)
			lack += MAX(0, part_of(f, s->balance + s->wanted) -
					       s->balance);
	}
	return lack;
}

/*
 * The lack of another data centre that nothing covers yet. Transfers are
 * added up only for a lack that its balance leaves: their lists can hold
 * thousands of rows, and most teams lack nothing.
 */
static int64_t gap_at(const struct ledger_plan_input *in,
		      const struct figures *f, const struct ledger *own,
		      const struct ledger *l, const char *team)
{
	int64_t gap = lack_in(in, f, l, team);

	if (gap > 0)
		gap -= ledger_balance(l, team);
	if (gap > 0)
		gap -= on_way_to(in, own, l->account, team);
	return MAX(0, gap);
}

/* Waiting work, with a refusal of the last seconds counted as one. */
static int64_t waiting_of(const struct ledger_plan_input *in,
			  const struct ledger_usage *usage)
{
	if (!usage->waiting && usage->refused_at &&
	    in->now - usage->refused_at < ASKED_FOR)
		return 1;
	return usage->waiting;
}

/*
 * Gathers what the plan needs to know of a team, in permits: limit, demand,
 * what this entry holds and uses, and what is lacking here and in other data
 * centres.
 */
static struct figures figures_of(const struct ledger_plan_input *in,
				 const struct ledger *own,
				 const struct ledger_usage *usage)
{
	const char *team = usage->team;
	const struct ledger_share *share = ledger_find_share(
		ledger_find_holder(own, in->entry, in->incarnation), team);
	const struct ledger_team *t =
		in->reserve ? ledger_find_team(in->reserve, team) : NULL;
	struct figures f = { 0 };
	guint i;

	f.limit = t ? t->limit : 0;
	f.held = share ? share->balance : 0;
	/* A longer queue than the limit is no larger claim on it. */
	f.busy = usage->used + MIN(waiting_of(in, usage), f.limit);
	add_holders(in, &f, own, team);
	for (i = 0; i < in->others->len; i++)
		add_holders(in, &f, g_ptr_array_index(in->others, i), team);
	f.total = MAX(0, f.limit - f.locked);
	f.all = f.demand + f.busy;
	f.part = part_of(&f, f.busy);
	f.lack_here = lack_in(in, &f, own, team);
	for (i = 0; i < in->others->len; i++)
		f.lack_elsewhere += gap_at(
			in, &f, own, g_ptr_array_index(in->others, i), team);
	if (t && t->balance < 0)
		f.debt = MAX(0, -t->balance - on_way_to(in, own, LEDGER_RESERVE,
							team));
	return f;
}

int64_t ledger_base_share(const struct ledger_plan_input *in, int64_t limit)
{
	if (in->is_draining)
		return 0;
	return limit / in->entries_nr + (in->rank < limit % in->entries_nr);
}

/*
 * Permits that this entry keeps when others ask: those its work can use, or
 * while there are too few for all, its part in proportion to demand.
 */
static int64_t keep_of(const struct ledger_plan_input *in,
		       struct ledger_usage *usage, const struct figures *f)
{
	int64_t keep = f->part, slack;

	if (keep == f->busy || (!f->wanted && !f->debt)) {
		usage->contended_since = 0;
		return f->busy;
	}
	if (f->debt)
		return keep;
	/* Hysteresis keeps permits from moving for small differences. */
	slack = f->starved ? 0 : 1 + keep / 8;
	if (f->held - keep <= slack) {
		usage->contended_since = 0;
		return f->busy;
	}
	if (!usage->contended_since)
		usage->contended_since = in->now;
	return in->now - usage->contended_since < CONTENDED_AFTER ? f->busy :
								    keep;
}

/* Takes permits of the account's balance for waiting work or the base. */
static enum ledger_urgency take(const struct ledger_plan_input *in,
				struct ledger *own, struct ledger_holder *me,
				const struct ledger_usage *usage,
				struct figures *f)
{
	int64_t free = ledger_balance(own, usage->team);
	int64_t need = f->busy - f->held, n;
	int64_t base = ledger_base_share(in, f->limit) - f->held;
	enum ledger_urgency urgency = LEDGER_WRITE_NOW;

	if (free <= 0 || f->debt)
		return LEDGER_WRITE_NONE;
	if (need > 0) {
		/* Its part, and what is left when all have theirs. */
		n = MAX(0, f->part - f->held) +
		    MAX(0, free - f->lack_here - f->lack_elsewhere);
		n = MIN(n, need);
	} else if (base > 0 && !f->wanted) {
		n = base;
		urgency = LEDGER_WRITE_DEFERRED;
	} else {
		return LEDGER_WRITE_NONE;
	}
	n = MIN(n, free);
	if (ledger_assign(own, me, usage->team, n))
		return LEDGER_WRITE_NONE;
	f->held += n;
	return urgency;
}

/* Gives up to n of the entry's free permits to the account's balance. */
static int64_t release_free(struct ledger *own, struct ledger_holder *me,
			    const struct ledger_usage *usage, struct figures *f,
			    int64_t n)
{
	n = MIN(n, f->held - usage->used);
	if (n <= 0 || ledger_unassign(own, me, usage->team, n))
		return 0;
	f->held -= n;
	return n;
}

/*
 * Sends up to n permits to an account: unassigned ones first, then the free
 * ones above keep. Returns how many were sent.
 */
static int64_t send_surplus(struct ledger *own, struct ledger_holder *me,
			    const struct ledger_usage *usage, struct figures *f,
			    const char *to, int64_t n, int64_t keep)
{
	int64_t balance = ledger_balance(own, usage->team);

	if (n > balance)
		release_free(own, me, usage, f,
			     MIN(n - balance, f->held - keep));
	n = MIN(n, ledger_balance(own, usage->team));
	if (n <= 0 || ledger_send(own, usage->team, to, n))
		return 0;
	return n;
}

/*
 * Sends permits to the other data centres that lack some: the free ones above
 * keep, and of the unassigned ones those that nobody here lacks.
 */
static enum ledger_urgency help_others(const struct ledger_plan_input *in,
				       struct ledger *own,
				       struct ledger_holder *me,
				       const struct ledger_usage *usage,
				       struct figures *f, int64_t keep)
{
	enum ledger_urgency urgency = LEDGER_WRITE_NONE;
	guint i;

	for (i = 0; i < in->others->len; i++) {
		const struct ledger *l = g_ptr_array_index(in->others, i);
		int64_t gap = gap_at(in, f, own, l, usage->team);
		int64_t spare = ledger_balance(own, usage->team) -
				f->lack_here - MAX(0, f->part - f->held) +
				CLAMP(f->held - keep, 0, f->held - usage->used);

		if (send_surplus(own, me, usage, f, l->account, MIN(gap, spare),
				 keep))
			urgency = LEDGER_WRITE_SOON;
	}
	return urgency;
}

/* Returns to the reserve what nobody has used for some time. */
static enum ledger_urgency return_idle(const struct ledger_plan_input *in,
				       struct ledger *own,
				       struct ledger_holder *me,
				       struct ledger_usage *usage,
				       struct figures *f)
{
	int64_t keep = MAX(f->busy, ledger_base_share(in, f->limit));
	int64_t n = MAX(0, f->held - keep) + ledger_balance(own, usage->team);

	if (!n || !in->reserve) {
		usage->idle_since = 0;
		return LEDGER_WRITE_NONE;
	}
	if (!usage->idle_since)
		usage->idle_since = in->now;
	if (in->now - usage->idle_since < IDLE_AFTER && !in->is_draining)
		return LEDGER_WRITE_NONE;
	if (!send_surplus(own, me, usage, f, LEDGER_RESERVE, n, keep))
		return LEDGER_WRITE_NONE;
	return in->is_draining ? LEDGER_WRITE_NOW : LEDGER_WRITE_DEFERRED;
}

/* Hands out what this entry need not keep. */
static enum ledger_urgency give(const struct ledger_plan_input *in,
				struct ledger *own, struct ledger_holder *me,
				struct ledger_usage *usage, struct figures *f)
{
	int64_t keep = keep_of(in, usage, f), held = f->held;
	int64_t gap = MAX(0, f->lack_here - ledger_balance(own, usage->team));
	enum ledger_urgency urgency = LEDGER_WRITE_NONE;
	int64_t lacking = f->debt + gap + f->lack_elsewhere;

	if (f->debt &&
	    send_surplus(own, me, usage, f, LEDGER_RESERVE, f->debt, keep))
		urgency = LEDGER_WRITE_SOON;
	if (gap && release_free(own, me, usage, f, MIN(gap, f->held - keep)))
		urgency = LEDGER_WRITE_SOON;
	if (f->lack_elsewhere && !f->debt)
		urgency = more_urgent(urgency,
				      help_others(in, own, me, usage, f, keep));
	/* Only permits that would be used again at once need holding back. */
	usage->withheld = 0;
	if (keep < f->busy)
		usage->withheld =
			(int)CLAMP(MIN(held - keep, lacking), 0, held);
	if (lacking) {
		usage->idle_since = 0;
		return urgency;
	}
	return more_urgent(urgency, return_idle(in, own, me, usage, f));
}

/* Says in the document how many more permits the entry could use. */
static enum ledger_urgency want(const struct ledger_plan_input *in,
				const struct ledger *own,
				struct ledger_holder *me,
				const struct ledger_usage *usage,
				const struct figures *f,
				enum ledger_urgency urgency)
{
	const struct ledger_share *s = ledger_find_share(me, usage->team);
	int64_t old = s ? s->wanted : 0;
	int64_t n = f->busy - f->held;

	if (n > 0)
		n -= on_way_to(in, own, own->account, usage->team);
	/* What lies in the reserve is fetched without asking others. */
	if (in->reserve)
		n -= MAX(0, ledger_balance(in->reserve, usage->team));
	n = CLAMP(n, 0, f->limit);
	if (n == old)
		return urgency;
	if (urgency == LEDGER_WRITE_NONE && n && old &&
	    ABS(n - old) <= 1 + old / 2)
		return urgency;
	ledger_set_wanted(me, usage->team, n);
	return more_urgent(urgency,
			   n > old ? LEDGER_WRITE_NOW : LEDGER_WRITE_DEFERRED);
}

/* Marks and reclaims dead holders; superseded ones count as dead. */
static enum ledger_urgency bury(const struct ledger_plan_input *in,
				struct ledger *own)
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

/* Credits what peer has sent to l, and removes what peer has credited. */
static enum ledger_urgency settle_with(struct ledger *l,
				       const struct ledger *peer)
{
	int64_t credited;
	size_t cleared;

	if (!strcmp(peer->account, l->account))
		return LEDGER_WRITE_NONE;
	credited = ledger_receive(l, peer);
	cleared = ledger_remove_received(l, peer);
	return credited || cleared ? LEDGER_WRITE_DEFERRED : LEDGER_WRITE_NONE;
}

/* The same with every other document. */
static enum ledger_urgency settle_transfers(const struct ledger_plan_input *in,
					    struct ledger *l,
					    const struct ledger *own)
{
	enum ledger_urgency urgency = settle_with(l, own);
	guint i;

	if (in->reserve)
		urgency = more_urgent(urgency, settle_with(l, in->reserve));
	for (i = 0; i < in->others->len; i++)
		urgency = more_urgent(
			urgency,
			settle_with(l, g_ptr_array_index(in->others, i)));
	return urgency;
}

/* Removes the own row of a draining entry once it holds nothing. */
static enum ledger_urgency leave(const struct ledger_plan_input *in,
				 struct ledger *own)
{
	const struct ledger_holder *me =
		ledger_find_holder(own, in->entry, in->incarnation);
	guint i;

	if (!me)
		return LEDGER_WRITE_NONE;
	for (i = 0; i < me->shares->len; i++)
		if (g_array_index(me->shares, struct ledger_share, i).balance)
			return LEDGER_WRITE_NONE;
	ledger_reclaim(own, in->entry, in->incarnation);
	return LEDGER_WRITE_NOW;
}

enum ledger_urgency ledger_plan_own(struct ledger_plan_input *in,
				    struct ledger *own)
{
	enum ledger_urgency urgency = settle_transfers(in, own, own);
	struct ledger_holder *me;
	guint i;

	if (in->is_draining &&
	    !ledger_find_holder(own, in->entry, in->incarnation))
		return LEDGER_WRITE_NONE;
	urgency = more_urgent(urgency, bury(in, own));
	if (!ledger_find_holder(own, in->entry, in->incarnation))
		urgency = more_urgent(urgency, LEDGER_WRITE_SOON);
	me = ledger_add_holder(own, in->entry, in->incarnation);
	if (me->mark) {
		ledger_clear_mark(me);
		urgency = LEDGER_WRITE_NOW;
	}
	for (i = 0; i < in->usages->len; i++) {
		struct ledger_usage *usage =
			&g_array_index(in->usages, struct ledger_usage, i);
		struct figures f = figures_of(in, own, usage);
		enum ledger_urgency step = take(in, own, me, usage, &f);

		step = more_urgent(step, give(in, own, me, usage, &f));
		step = want(in, own, me, usage, &f, step);
		urgency = more_urgent(urgency, step);
	}
	if (in->run_ms > me->run_ms) {
		me->run_ms = in->run_ms;
		urgency = LEDGER_WRITE_NOW;
	} else if (urgency != LEDGER_WRITE_NONE) {
		/* Lowering saves nothing while the entry lives. */
		me->run_ms = in->run_ms;
	}
	return in->is_draining ? more_urgent(urgency, leave(in, own)) : urgency;
}

/* Sends permits of one team from the reserve to the own data centre. */
static enum ledger_urgency fetch(const struct ledger_plan_input *in,
				 struct ledger *reserve,
				 const struct ledger *own,
				 const struct ledger_usage *usage)
{
	int64_t balance = ledger_balance(reserve, usage->team);
	enum ledger_urgency urgency = LEDGER_WRITE_NOW;
	struct figures f;
	int64_t here, need;

	if (balance <= 0)
		return LEDGER_WRITE_NONE;
	f = figures_of(in, own, usage);
	here = f.held + ledger_balance(own, usage->team) +
	       on_way_to(in, own, own->account, usage->team);
	need = f.busy - here;
	if (need <= 0) {
		if (f.wanted)
			return LEDGER_WRITE_NONE;
		need = ledger_base_share(in, f.limit) - here;
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
	enum ledger_urgency urgency = settle_transfers(in, reserve, own);
	const struct ledger *before = in->reserve;
	guint i;

	if (!ledger_set_limits(reserve, revision, limits, limits_nr))
		urgency = more_urgent(urgency, LEDGER_WRITE_SOON);
	in->reserve = reserve;
	for (i = 0; i < in->usages->len; i++)
		urgency = more_urgent(
			urgency, fetch(in, reserve, own,
				       &g_array_index(in->usages,
						      struct ledger_usage, i)));
	in->reserve = before;
	return urgency;
}
