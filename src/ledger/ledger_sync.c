#include "ledger_sync.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "../config/config_sync.h"
#include "../fleet/fleet.h"
#include "../job/dispatch.h"
#include "ledger_account.h"
#include "ledger_plan.h"

/*
 * The time-dependent rules of the plan are evaluated at this interval. That
 * alone makes no platform call.
 */
#define TICK CS_SEC

/* A watch returns after this long without a change. */
#define WATCH_WAIT_MS 30000

/* Delay before the documents are listed again after a failed list or watch. */
#define WATCH_RETRY_DELAY CS_SEC

/*
 * Classes of run times in ms: the run time of a task is rounded up to one of
 * these. The class is written to the entry's document row before such a task
 * starts. A reader counts this duration on its own clock from the moment it
 * first saw the mark of the dead holder, so clocks of different hosts are never
 * compared. The first class covers the default deadline of 30 s.
 */
static const int64_t run_classes[] = { 30000, 300000, 3600000,
				       LEDGER_RUN_MAX_MS };
#define RUN_CLASSES G_N_ELEMENTS(run_classes)

/*
 * A requested class is kept this long, so that the task that requested it can
 * start after the write.
 */
#define CLASS_REQUEST_TIME (10 * CS_SEC)

/* Added to the wait for a dead holder, for clock drift and send delays. */
#define RECLAIM_MARGIN (5 * CS_SEC)

/* A connected entry. */
struct live_peer {
	char entry[CS_NAME_MAX];
	uint64_t incarnation;
};

/* When this entry first saw a mark; see ledger_mark_dead(). */
struct seen_mark {
	char entry[CS_NAME_MAX];
	uint64_t incarnation;
	uint64_t mark;
	cs_time since;
};

struct ledger_sync {
	struct ledger_account *own, *reserve; /* own: this data centre */
	GPtrArray *others; /* struct ledger_account: other data centres */
	GArray *usages; /* struct ledger_usage, by team */
	GArray *peers; /* struct live_peer */
	GArray *seen_marks; /* struct seen_mark */
	GArray *limits; /* struct ledger_limit, of the document in force */
	uint64_t config_revision;
	cs_time class_used_until[RUN_CLASSES]; /* latest end of its tasks */
	cs_time class_requested_at[RUN_CLASSES]; /* by acquire; 0: never */
	uint64_t last_token;
	uint64_t watch_token; /* of the list or watch in flight */
	uint64_t watch_revision; /* 0: list first */
	cs_time next_watch; /* earliest time, after a failure */
	uint64_t reread_token; /* of the read that ends is_stale */
	bool is_stale; /* own must be read again after a clock jump */
	bool is_platform_down; /* the last call got no reply */
	cs_handle timer;
	cs_time timer_due;
	int rank, entries_nr; /* see struct ledger_plan_input */
};

static void on_timer(void *arg, uint64_t unused, cs_time now);

/* Runs the plan at due, or earlier if an earlier time is set already. */
static void schedule_plan(struct part_ctx *ctx, cs_time due)
{
	struct ledger_sync *ls = ctx->parts.ledger;

	if (ls->timer && ls->timer_due <= due)
		return;
	if (ls->timer)
		timers_cancel(ctx->timers, ls->timer);
	ls->timer = timers_subscribe(ctx->timers, due, on_timer, ctx, 0);
	ls->timer_due = due;
}

/* The usage row of a team. If there is none, adds one or returns NULL. */
static struct ledger_usage *find_usage(const struct ledger_sync *ls,
				       const char *team, bool add)
{
	struct ledger_usage zero = { .used = 0 };
	guint low = 0, high = ls->usages->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		struct ledger_usage *u =
			&g_array_index(ls->usages, struct ledger_usage, mid);
		int order = strcmp(u->team, team);

		if (!order)
			return u;
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	if (!add)
		return NULL;
	cs_copy(zero.team, sizeof(zero.team), team);
	g_array_insert_val(ls->usages, low, zero);
	return &g_array_index(ls->usages, struct ledger_usage, low);
}

/* What all possible states of the own document grant to this entry. */
struct grant {
	const struct part_ctx *ctx;
	const char *team;
	int64_t balance;
	int64_t run_ms;
	bool is_marked;
};

/* Restricts a grant to what one state of the document grants. */
static void intersect_grant(void *arg, const struct ledger *l)
{
	struct grant *g = arg;
	const struct ledger_holder *h = ledger_find_holder(
		l, g->ctx->options->id, g->ctx->options->incarnation);
	const struct ledger_holding *s = ledger_find_holding(h, g->team);

	g->balance = MIN(g->balance, s ? s->balance : 0);
	g->run_ms = MIN(g->run_ms, h ? h->run_ms : 0);
	g->is_marked = g->is_marked || (h && h->mark);
}

/*
 * What the document grants whatever the outcome of the writes in flight and in
 * doubt. Using more could exceed the limit (invariant I5).
 */
static struct grant safe_grant(const struct part_ctx *ctx, const char *team)
{
	const struct ledger_sync *ls = ctx->parts.ledger;
	struct grant g = { .ctx = ctx,
			   .team = team,
			   .balance = INT64_MAX,
			   .run_ms = INT64_MAX };

	ledger_account_for_each_state(ls->own, intersect_grant, &g);
	return g;
}

/* True once the document has a row of a newer incarnation of this entry. */
static bool is_fenced(const struct part_ctx *ctx)
{
	const struct ledger_sync *ls = ctx->parts.ledger;

	return ledger_is_superseded(ls->own->doc, ctx->options->id,
				    ctx->options->incarnation);
}

/*
 * True while no task may start: the own document is not current, or others
 * have marked or replaced this incarnation.
 */
static bool is_start_blocked(const struct part_ctx *ctx, const struct grant *g)
{
	const struct ledger_sync *ls = ctx->parts.ledger;

	return ls->is_stale || !ls->own->is_known || is_fenced(ctx) ||
	       (g->is_marked && !MUTANT(ctx, "ledger-ignore-mark"));
}

int ledger_sync_acquire_for(struct part_ctx *ctx, const char *team,
			    int64_t run_ms)
{
	struct ledger_sync *ls = ctx->parts.ledger;
	const struct doc_team *row =
		document_team(config_sync_document(ctx), team);
	struct grant g = safe_grant(ctx, team);
	struct ledger_usage *usage;
	size_t run_class = 0;

	if (!row)
		return CS_ERR_MISSING;
	if (run_ms < 1 || run_ms > LEDGER_RUN_MAX_MS)
		return CS_ERR_INVALID;
	if (is_start_blocked(ctx, &g))
		return CS_ERR_STALE;
	usage = find_usage(ls, team, true);
	while (run_classes[run_class] < run_ms)
		run_class++;
	ls->class_requested_at[run_class] = ctx->now;
	if (usage->used >= g.balance - usage->withheld ||
	    usage->used >= row->limit ||
	    (run_classes[run_class] > g.run_ms &&
	     !MUTANT(ctx, "ledger-ignore-run-class"))) {
		usage->refused_at = ctx->now;
		schedule_plan(ctx, ctx->now);
		return CS_ERR_LIMIT;
	}
	usage->used++;
	usage->refused_at = 0;
	ls->class_used_until[run_class] = MAX(ls->class_used_until[run_class],
					      ctx->now + run_ms * CS_MSEC);
	return CS_OK;
}

int ledger_sync_acquire(struct part_ctx *ctx, const char *team)
{
	return ledger_sync_acquire_for(ctx, team, LEDGER_RUN_MAX_MS);
}

void ledger_sync_release(struct part_ctx *ctx, const char *team)
{
	struct ledger_usage *usage = find_usage(ctx->parts.ledger, team, false);

	if (!usage ||
	    !part_check_invariant(ctx, "I5-permit-held", usage->used > 0))
		return;
	usage->used--;
	if (usage->withheld || ctx->is_draining)
		schedule_plan(ctx, ctx->now);
}

void ledger_sync_set_demand(struct part_ctx *ctx, const char *team, int waiting)
{
	struct ledger_sync *ls = ctx->parts.ledger;
	struct ledger_usage *usage = find_usage(ls, team, waiting > 0);

	if (!usage || usage->waiting == waiting)
		return;
	usage->waiting = MAX(0, waiting);
	/* The plan takes notice of falling demand at the next tick. */
	if (usage->used + waiting > safe_grant(ctx, team).balance)
		schedule_plan(ctx, ctx->now);
}

int ledger_sync_held(const struct part_ctx *ctx, const char *team)
{
	return (int)safe_grant(ctx, team).balance;
}

int ledger_sync_used(const struct part_ctx *ctx, const char *team)
{
	const struct ledger_usage *usage =
		find_usage(ctx->parts.ledger, team, false);

	return usage ? usage->used : 0;
}

/* True if the entry is connected; incarnation 0 means any. */
static bool is_peer_live(void *arg, const char *entry, uint64_t incarnation)
{
	const struct part_ctx *ctx = arg;
	const struct ledger_sync *ls = ctx->parts.ledger;
	guint i;

	for (i = 0; i < ls->peers->len; i++) {
		const struct live_peer *p =
			&g_array_index(ls->peers, struct live_peer, i);

		/*
		 * Compares numbers first: the plan calls this for each holder
		 * of each team.
		 */
		if (incarnation && p->incarnation != incarnation)
			continue;
		if (!strcmp(p->entry, entry))
			return true;
	}
	return false;
}

/* Dropped from the host list and not connected: neither alone is enough. */
static bool is_entry_dead(void *arg, const char *entry)
{
	return fleet_is_host_gone(arg, entry) && !is_peer_live(arg, entry, 0);
}

/* When this entry first saw the holder's mark; records it if it is new. */
static cs_time mark_seen_at(const struct part_ctx *ctx, GArray *seen_marks,
			    const struct ledger_holder *h)
{
	struct seen_mark m = { .incarnation = h->incarnation,
			       .mark = h->mark,
			       .since = ctx->now };
	guint i;

	for (i = 0; i < seen_marks->len; i++) {
		struct seen_mark *s =
			&g_array_index(seen_marks, struct seen_mark, i);

		if (s->incarnation != h->incarnation ||
		    strcmp(s->entry, h->entry))
			continue;
		if (s->mark != h->mark) {
			s->mark = h->mark;
			s->since = ctx->now;
		}
		return s->since;
	}
	cs_copy(m.entry, sizeof(m.entry), h->entry);
	g_array_append_val(seen_marks, m);
	return m.since;
}

/* Records new marks of the own document and forgets removed ones. */
static void update_seen_marks(struct part_ctx *ctx)
{
	struct ledger_sync *ls = ctx->parts.ledger;
	const GArray *holders = ls->own->doc->holders;
	guint i;

	for (i = 0; i < ls->seen_marks->len;) {
		const struct seen_mark *s =
			&g_array_index(ls->seen_marks, struct seen_mark, i);
		const struct ledger_holder *h = ledger_find_holder(
			ls->own->doc, s->entry, s->incarnation);

		if (!h || h->mark != s->mark)
			g_array_remove_index_fast(ls->seen_marks, i);
		else
			i++;
	}
	for (i = 0; i < holders->len; i++) {
		const struct ledger_holder *h =
			&g_array_index(holders, struct ledger_holder, i);

		if (h->mark)
			mark_seen_at(ctx, ls->seen_marks, h);
	}
}

/*
 * True if every task that the marked holder can have started has ended: all
 * of them began before the mark was written, and none runs longer than run_ms,
 * which the holder raises in the document before it starts a longer one. A
 * holder that was only paused reads its row before it starts anything, finds
 * the mark and removes it first, which ends this wait.
 */
static bool can_reclaim(void *arg, const struct ledger_holder *h)
{
	struct part_ctx *ctx = arg;
	cs_time wait = h->run_ms * CS_MSEC;

	if (MUTANT(ctx, "ledger-early-reclaim"))
		return true;
	wait += wait / 64 + RECLAIM_MARGIN;
	return ctx->now - mark_seen_at(ctx, ctx->parts.ledger->seen_marks, h) >=
	       wait;
}

/* The run class of the longest task that is running or recently requested. */
static int64_t required_run_ms(const struct part_ctx *ctx)
{
	const struct ledger_sync *ls = ctx->parts.ledger;
	size_t i;

	for (i = RUN_CLASSES - 1; i > 0; i--)
		if (ls->class_used_until[i] > ctx->now ||
		    (ls->class_requested_at[i] &&
		     ctx->now - ls->class_requested_at[i] < CLASS_REQUEST_TIME))
			break;
	return run_classes[i];
}

/* Fills in what the plan needs; the caller releases in->others. */
static void fill_plan_input(struct part_ctx *ctx, struct ledger_plan_input *in)
{
	struct ledger_sync *ls = ctx->parts.ledger;
	guint i;

	*in = (struct ledger_plan_input){
		.entry = ctx->options->id,
		.incarnation = ctx->options->incarnation,
		.now = ctx->now,
		.reserve = ls->reserve->is_known ? ls->reserve->doc : NULL,
		.others = g_ptr_array_new(),
		.usages = ls->usages,
		.rank = ls->rank,
		.entries_nr = ls->entries_nr,
		.run_ms = required_run_ms(ctx),
		.is_draining = ctx->is_draining,
		.is_live = is_peer_live,
		.is_dead = is_entry_dead,
		.can_reclaim = can_reclaim,
		.ctx = ctx,
	};
	for (i = 0; i < ls->others->len; i++) {
		struct ledger_account *a = g_ptr_array_index(ls->others, i);

		if (a->is_known)
			g_ptr_array_add(in->others, a->doc);
	}
}

/* The time at which a change of that urgency should be written. */
static cs_time write_time(struct part_ctx *ctx, enum ledger_urgency urgency)
{
	switch (urgency) {
	case LEDGER_WRITE_NOW:
		return ctx->now;
	case LEDGER_WRITE_SOON:
		return ctx->now + g_rand_int_range(ctx->rng, 0, 100) * CS_MSEC;
	case LEDGER_WRITE_DEFERRED:
		return ctx->now +
		       g_rand_int_range(ctx->rng, 1000, 3000) * CS_MSEC;
	default:
		return CS_TIME_NEVER;
	}
}

/* Writes the candidate if it is due, else frees it. */
static void write_if_due(struct part_ctx *ctx, struct ledger_account *a,
			 struct ledger *candidate, enum ledger_urgency urgency)
{
	struct ledger_sync *ls = ctx->parts.ledger;

	if (urgency == LEDGER_WRITE_NONE)
		a->due = CS_TIME_NEVER;
	else
		a->due = MIN(a->due, write_time(ctx, urgency));
	if (a->due > ctx->now || a->next_write > ctx->now ||
	    !part_check_invariant(ctx, "I5-ledger-sum",
				  ledger_is_balanced(candidate))) {
		ledger_destroy(candidate);
		return;
	}
	ledger_account_write(ctx, a, candidate, ++ls->last_token);
	if (MUTANT(ctx, "ledger-transfer-credit-first") && a == ls->reserve) {
		ledger_destroy(a->doc);
		a->doc = ledger_copy(candidate);
	}
}

/* True if the account can be planned now; starts a read that is due. */
static bool is_ready(struct part_ctx *ctx, struct ledger_account *a)
{
	struct ledger_sync *ls = ctx->parts.ledger;

	if (a->token)
		return false;
	if (a->must_read) {
		if (a->next_read > ctx->now)
			return false;
		ledger_account_read(ctx, a, ++ls->last_token);
		if (a == ls->own)
			ls->reread_token = a->token;
		return false;
	}
	return a->is_known;
}

/* Plans a change of the reserve's document and writes it when due. */
static void plan_reserve(struct part_ctx *ctx, struct ledger_plan_input *in)
{
	struct ledger_sync *ls = ctx->parts.ledger;
	enum ledger_urgency urgency;
	struct ledger *candidate;

	if (!is_ready(ctx, ls->reserve))
		return;
	candidate = ledger_copy(ls->reserve->doc);
	urgency = ledger_plan_reserve(
		in, candidate, ls->own->doc, ls->config_revision,
		(const struct ledger_limit *)ls->limits->data, ls->limits->len);
	if (ls->reserve->must_write)
		urgency = LEDGER_WRITE_NOW;
	write_if_due(ctx, ls->reserve, candidate, urgency);
}

/*
 * Plans a change of this data centre's document and writes it when due. After
 * a clock jump nothing is planned until the document was read again.
 */
static void plan_own(struct part_ctx *ctx, struct ledger_plan_input *in)
{
	struct ledger_sync *ls = ctx->parts.ledger;
	enum ledger_urgency urgency;
	struct ledger *candidate;

	if (!is_ready(ctx, ls->own) || ls->is_stale)
		return;
	candidate = ledger_copy(ls->own->doc);
	urgency = ledger_plan_own(in, candidate);
	if (ls->own->must_write)
		urgency = LEDGER_WRITE_NOW;
	write_if_due(ctx, ls->own, candidate, urgency);
}

/*
 * Keeps one watch open on all ledger documents. A list comes first, because a
 * watch needs a start revision.
 */
static void ensure_watch(struct part_ctx *ctx)
{
	struct ledger_sync *ls = ctx->parts.ledger;
	struct msg *msg;

	if (ls->watch_token || ls->next_watch > ctx->now)
		return;
	ls->watch_token = ++ls->last_token;
	msg = part_kv_call(PART_LEDGER, ls->watch_revision ? KV_WATCH : KV_LIST,
			   "ledger/", ls->watch_token);
	msg->u.kv_call.version = ls->watch_revision;
	msg->u.kv_call.wait_ms = WATCH_WAIT_MS;
	part_emit(ctx, msg);
}

/* When the plan must run again for this account. */
static cs_time next_plan_time(const struct part_ctx *ctx,
			      const struct ledger_account *a)
{
	if (a->token)
		return CS_TIME_NEVER;
	if (a->must_read)
		return MAX(ctx->now, a->next_read);
	if (a->due == CS_TIME_NEVER)
		return CS_TIME_NEVER;
	return MAX(ctx->now, MAX(a->due, a->next_write));
}

/* Plans both documents, emits the calls that are due, and sets the timer. */
static void run_plan(struct part_ctx *ctx)
{
	struct ledger_sync *ls = ctx->parts.ledger;
	struct ledger_plan_input in;

	ensure_watch(ctx);
	if (is_fenced(ctx))
		return;
	fill_plan_input(ctx, &in);
	plan_reserve(ctx, &in);
	in.reserve = ls->reserve->is_known ? ls->reserve->doc : NULL;
	plan_own(ctx, &in);
	g_ptr_array_unref(in.others);
	schedule_plan(ctx, MIN(ctx->now + TICK,
			       MIN(next_plan_time(ctx, ls->own),
				   next_plan_time(ctx, ls->reserve))));
}

static void on_timer(void *arg, uint64_t unused, cs_time now)
{
	struct part_ctx *ctx = arg;

	(void)unused;
	(void)now;
	ctx->parts.ledger->timer = 0;
	run_plan(ctx);
}

/*
 * Adds a usage row for every team of the own and the reserve's document, so
 * that the plan covers all teams of which this entry holds or may get permits.
 */
static void add_usages(struct ledger_sync *ls)
{
	const GArray *teams[] = { ls->own->doc->teams,
				  ls->reserve->doc->teams };
	guint i, k;

	for (i = 0; i < 2; i++)
		for (k = 0; k < teams[i]->len; k++)
			find_usage(ls,
				   g_array_index(teams[i], struct ledger_team,
						 k)
					   .team,
				   true);
}

/* Updates what is derived from the documents, and schedules the plan. */
static void on_documents_changed(struct part_ctx *ctx)
{
	add_usages(ctx->parts.ledger);
	update_seen_marks(ctx);
	schedule_plan(ctx, ctx->now);
}

/* The account of a ledger key, added if new; NULL for any other key. */
static struct ledger_account *find_account(struct ledger_sync *ls,
					   const char *key)
{
	struct ledger_account *a;
	guint i;

	if (!g_str_has_prefix(key, "ledger/") ||
	    strlen(key) - strlen("ledger/") - 1 >= CS_NAME_MAX - 1)
		return NULL;
	if (!strcmp(key, ls->own->key))
		return ls->own;
	if (!strcmp(key, ls->reserve->key))
		return ls->reserve;
	for (i = 0; i < ls->others->len; i++) {
		a = g_ptr_array_index(ls->others, i);
		if (!strcmp(a->key, key))
			return a;
	}
	a = ledger_account_create(key + strlen("ledger/"));
	g_ptr_array_add(ls->others, a);
	return a;
}

/* Handles the reply to the list or watch; after a failure it lists again. */
static void handle_watch_reply(struct part_ctx *ctx, const struct kv_done *done)
{
	struct ledger_sync *ls = ctx->parts.ledger;
	size_t i;

	ls->watch_token = 0;
	if (done->result != KV_OK) {
		ls->watch_revision = 0;
		ls->next_watch = ctx->now + WATCH_RETRY_DELAY +
				 g_rand_int_range(ctx->rng, 0, 500) * CS_MSEC;
		return;
	}
	for (i = 0; i < done->rows_nr; i++) {
		const struct kv_row *row = &done->rows[i];
		struct ledger_account *a = find_account(ls, row->key);

		if (a && row->version)
			ledger_account_update(ctx, a, row->version, row->value);
		else if (a)
			a->must_read = true;
	}
	if (done->op == KV_LIST) {
		ls->own->is_known |= !ls->own->version;
		ls->reserve->is_known |= !ls->reserve->version;
	}
	ls->watch_revision = done->revision;
	ensure_watch(ctx);
}

/* True if tasks of any team wait for a permit at this entry. */
static bool is_work_waiting(const struct part_ctx *ctx)
{
	const GArray *usages = ctx->parts.ledger->usages;
	guint i;

	for (i = 0; i < usages->len; i++) {
		const struct ledger_usage *u =
			&g_array_index(usages, struct ledger_usage, i);

		if (u->waiting || u->refused_at)
			return true;
	}
	return false;
}

/*
 * Routes a reply to the watch or to the account that made the call. Only a
 * read that began after a clock jump clears is_stale.
 */
static void on_kv(struct part_ctx *ctx, const struct kv_done *done)
{
	struct ledger_sync *ls = ctx->parts.ledger;
	struct ledger_account *a = NULL;

	if (!done->token)
		return;
	ls->is_platform_down = done->result == KV_UNKNOWN ||
			       done->result == KV_UNAVAILABLE;
	if (done->token == ls->own->token)
		a = ls->own;
	else if (done->token == ls->reserve->token)
		a = ls->reserve;
	if (done->token == ls->watch_token)
		handle_watch_reply(ctx, done);
	else if (a)
		ledger_account_handle_reply(ctx, a, done);
	else
		return;
	if (a && ls->is_stale && done->token == ls->reread_token &&
	    a->is_known && !a->must_read)
		ls->is_stale = false;
	on_documents_changed(ctx);
	/* Permits may have arrived. */
	if (is_work_waiting(ctx))
		dispatch_process_all_pools(ctx);
}

/* Keeps one row per connected entry, with its newest incarnation. */
static void on_peer_state(struct part_ctx *ctx, const struct peer_state *state)
{
	struct ledger_sync *ls = ctx->parts.ledger;
	struct live_peer p = { .incarnation = state->incarnation };
	guint i;

	for (i = 0; i < ls->peers->len; i++) {
		const struct live_peer *old =
			&g_array_index(ls->peers, struct live_peer, i);

		if (strcmp(old->entry, state->peer))
			continue;
		/* Ignores late messages about an older incarnation. */
		if (state->incarnation && state->incarnation < old->incarnation)
			return;
		g_array_remove_index_fast(ls->peers, i--);
	}
	if (!state->is_up)
		return;
	cs_copy(p.entry, sizeof(p.entry), state->peer);
	g_array_append_val(ls->peers, p);
}

/* Stores the limits of all teams, and adds a usage row for each. */
static void on_config(struct part_ctx *ctx, const struct document *doc)
{
	struct ledger_sync *ls = ctx->parts.ledger;
	size_t nr, i;
	const struct doc_team *teams = document_teams(doc, &nr);

	ls->config_revision = document_revision(doc);
	g_array_set_size(ls->limits, 0);
	for (i = 0; i < nr; i++) {
		struct ledger_limit limit = { .limit = teams[i].limit };

		cs_copy(limit.team, sizeof(limit.team), teams[i].name);
		g_array_append_val(ls->limits, limit);
		find_usage(ls, limit.team, true);
	}
	schedule_plan(ctx, ctx->now);
}

/*
 * No task starts before the own document was read again: while the process was
 * paused, others may have presumed it dead and reclaimed its permits. Only a
 * read that begins after the pause shows that they did not.
 */
static void on_jump(struct part_ctx *ctx)
{
	struct ledger_sync *ls = ctx->parts.ledger;

	if (MUTANT(ctx, "ledger-no-reread"))
		return;
	ls->is_stale = true;
	ls->reread_token = 0;
	ls->own->must_read = true;
	schedule_plan(ctx, ctx->now);
}

static void drain(struct part_ctx *ctx)
{
	schedule_plan(ctx, ctx->now);
}

/*
 * Drained when no permit is in use and this entry's row was removed from the
 * document.
 */
static bool is_drained(struct part_ctx *ctx)
{
	const struct ledger_sync *ls = ctx->parts.ledger;
	guint i;

	for (i = 0; i < ls->usages->len; i++)
		if (g_array_index(ls->usages, struct ledger_usage, i).used)
			return false;
	/* Without the platform no permits can be returned. */
	return ls->is_platform_down || !ls->own->is_known || is_fenced(ctx) ||
	       (!ls->own->token &&
		!ledger_find_holder(ls->own->doc, ctx->options->id,
				    ctx->options->incarnation));
}

static void start(struct part_ctx *ctx)
{
	run_plan(ctx);
}

/*
 * The reserve's name is not allowed for a data centre, because their documents
 * would have the same key. The rank is this entry's position in the order of
 * ids; the plan uses it to divide the remainder of a limit.
 */
static int create(struct part_ctx *ctx, struct cs_error *err)
{
	const struct entry_options *o = ctx->options;
	struct ledger_sync *ls;
	size_t i;

	if (!*o->data_centre || !strcmp(o->data_centre, LEDGER_RESERVE))
		return cs_error_set(err, CS_ERR_INVALID, "ledger_create", NULL,
				    "a data centre can't be named \"%s\"",
				    o->data_centre);
	ls = g_new0(struct ledger_sync, 1);
	ls->own = ledger_account_create(o->data_centre);
	ls->reserve = ledger_account_create(LEDGER_RESERVE);
	ls->others = g_ptr_array_new_with_free_func(
		(GDestroyNotify)ledger_account_destroy);
	ls->usages = g_array_new(FALSE, TRUE, sizeof(struct ledger_usage));
	ls->peers = g_array_new(FALSE, TRUE, sizeof(struct live_peer));
	ls->seen_marks = g_array_new(FALSE, TRUE, sizeof(struct seen_mark));
	ls->limits = g_array_new(FALSE, TRUE, sizeof(struct ledger_limit));
	ls->entries_nr = (int)o->peers_nr + 1;
	for (i = 0; i < o->peers_nr; i++)
		ls->rank += strcmp(o->peers[i].id, o->id) < 0;
	ctx->parts.ledger = ls;
	return CS_OK;
}

/*
 * Permits that were not returned stay in the document until the death of this
 * incarnation is confirmed.
 */
static void destroy(struct part_ctx *ctx)
{
	struct ledger_sync *ls = ctx->parts.ledger;

	if (!ls)
		return;
	ledger_account_destroy(ls->own);
	ledger_account_destroy(ls->reserve);
	g_ptr_array_unref(ls->others);
	g_array_unref(ls->usages);
	g_array_unref(ls->peers);
	g_array_unref(ls->seen_marks);
	g_array_unref(ls->limits);
	g_free(ls);
	ctx->parts.ledger = NULL;
}

const struct part_ops ledger_sync_part = {
	.name = "ledger",
	.create = create,
	.destroy = destroy,
	.start = start,
	.on_kv = on_kv,
	.on_peer_state = on_peer_state,
	.on_config = on_config,
	.on_jump = on_jump,
	.drain = drain,
	.is_drained = is_drained,
};
