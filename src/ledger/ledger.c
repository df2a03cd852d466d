#include "ledger.h"

#include <assert.h>
#include <string.h>

#include "../base/error.h"

static GArray *rows_create(size_t size)
{
	return g_array_new(FALSE, TRUE, (guint)size);
}

/* Binary search for a row; if there is none, *pos is where to insert it. */
static void *rows_find(const GArray *rows, const char *name, guint *pos)
{
	guint size = g_array_get_element_size((GArray *)rows);
	guint low = 0, high = rows->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		char *row = rows->data + (size_t)mid * size;
		int order = strcmp(row, name);

		if (!order)
			return row;
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	if (pos)
		*pos = low;
	return NULL;
}

/* Finds or inserts a row. Its first field must be the name. */
static void *rows_add(GArray *rows, const char *name)
{
	guint size = g_array_get_element_size(rows), pos = 0;
	char zero[256] = "";
	void *row = rows_find(rows, name, &pos);

	if (row)
		return row;
	assert(size <= sizeof(zero));
	cs_copy(zero, CS_NAME_MAX, name);
	g_array_insert_vals(rows, pos, zero, 1);
	return rows->data + (size_t)pos * size;
}

struct ledger *ledger_create(const char *account)
{
	struct ledger *l = g_new0(struct ledger, 1);

	cs_copy(l->account, sizeof(l->account), account);
	l->teams = rows_create(sizeof(struct ledger_team));
	l->holders = rows_create(sizeof(struct ledger_holder));
	l->outgoing = rows_create(sizeof(struct ledger_transfer));
	l->receipts = rows_create(sizeof(struct ledger_receipt));
	return l;
}

struct ledger *ledger_copy(const struct ledger *l)
{
	struct ledger *copy = g_memdup2(l, sizeof(*l));
	guint i;

	copy->teams = g_array_copy(l->teams);
	copy->holders = g_array_copy(l->holders);
	copy->outgoing = g_array_copy(l->outgoing);
	copy->receipts = g_array_copy(l->receipts);
	for (i = 0; i < copy->holders->len; i++) {
		struct ledger_holder *h =
			&g_array_index(copy->holders, struct ledger_holder, i);

		h->holdings = g_array_copy(h->holdings);
	}
	return copy;
}

void ledger_destroy(struct ledger *l)
{
	guint i;

	if (!l)
		return;
	for (i = 0; i < l->holders->len; i++)
		g_array_unref(g_array_index(l->holders, struct ledger_holder, i)
				      .holdings);
	g_array_unref(l->teams);
	g_array_unref(l->holders);
	g_array_unref(l->outgoing);
	g_array_unref(l->receipts);
	g_free(l);
}

bool ledger_is_reserve(const struct ledger *l)
{
	return !strcmp(l->account, LEDGER_RESERVE);
}

const struct ledger_team *ledger_find_team(const struct ledger *l,
					   const char *team)
{
	return rows_find(l->teams, team, NULL);
}

struct ledger_team *ledger_add_team(struct ledger *l, const char *team)
{
	return rows_add(l->teams, team);
}

/* Sets *pos to the index of a holder, or to where it is to be inserted. */
static bool find_holder(const struct ledger *l, const char *entry,
			uint64_t incarnation, guint *pos)
{
	guint i;

	for (i = 0; i < l->holders->len; i++) {
		const struct ledger_holder *h =
			&g_array_index(l->holders, struct ledger_holder, i);
		int order = strcmp(h->entry, entry);

		if (order > 0 || (!order && h->incarnation >= incarnation)) {
			*pos = i;
			return !order && h->incarnation == incarnation;
		}
	}
	*pos = i;
	return false;
}

const struct ledger_holder *ledger_find_holder(const struct ledger *l,
					       const char *entry,
					       uint64_t incarnation)
{
	guint pos;

	if (!find_holder(l, entry, incarnation, &pos))
		return NULL;
	return &g_array_index(l->holders, struct ledger_holder, pos);
}

struct ledger_holder *ledger_add_holder(struct ledger *l, const char *entry,
					uint64_t incarnation)
{
	struct ledger_holder h = { .incarnation = incarnation };
	guint pos;

	if (!find_holder(l, entry, incarnation, &pos)) {
		cs_copy(h.entry, sizeof(h.entry), entry);
		h.holdings = rows_create(sizeof(struct ledger_holding));
		g_array_insert_val(l->holders, pos, h);
	}
	return &g_array_index(l->holders, struct ledger_holder, pos);
}

const struct ledger_holding *ledger_find_holding(const struct ledger_holder *h,
						 const char *team)
{
	return h ? rows_find(h->holdings, team, NULL) : NULL;
}

struct ledger_holding *ledger_add_holding(struct ledger_holder *h,
					  const char *team)
{
	return rows_add(h->holdings, team);
}

int64_t ledger_balance(const struct ledger *l, const char *team)
{
	const struct ledger_team *t = ledger_find_team(l, team);

	return t ? t->balance : 0;
}

uint64_t ledger_last_received(const struct ledger *l, const char *sender)
{
	const struct ledger_receipt *r = rows_find(l->receipts, sender, NULL);

	return r ? r->last_id : 0;
}

bool ledger_is_superseded(const struct ledger *l, const char *entry,
			  uint64_t incarnation)
{
	guint i;

	for (i = 0; i < l->holders->len; i++) {
		const struct ledger_holder *h =
			&g_array_index(l->holders, struct ledger_holder, i);

		if (!strcmp(h->entry, entry) && h->incarnation > incarnation)
			return true;
	}
	return false;
}

/* Permits of a team in this document, outgoing transfers included. */
static int64_t team_sum(const struct ledger *l, const char *team)
{
	int64_t sum = ledger_balance(l, team);
	guint i;

	for (i = 0; i < l->holders->len; i++) {
		const struct ledger_holding *s = ledger_find_holding(
			&g_array_index(l->holders, struct ledger_holder, i),
			team);

		sum += s ? s->balance : 0;
	}
	for (i = 0; i < l->outgoing->len; i++) {
		const struct ledger_transfer *t =
			&g_array_index(l->outgoing, struct ledger_transfer, i);

		if (!strcmp(t->team, team))
			sum += t->amount;
	}
	return sum;
}

/* Asserts the sum of a team after an operation that adds change to it. */
static void check_sum(struct ledger *l, const char *team, int64_t change)
{
	struct ledger_team *t = ledger_add_team(l, team);

	t->expected_sum += change;
	assert(team_sum(l, team) == t->expected_sum);
	assert(ledger_is_reserve(l) || t->balance >= 0);
}

/* A team that is not in the fleet document any more has the limit 0. */
static int64_t find_limit(const struct ledger_limit *limits, size_t nr,
			  const char *team)
{
	size_t i;

	for (i = 0; i < nr; i++)
		if (!strcmp(limits[i].team, team))
			return limits[i].limit;
	return 0;
}

int ledger_set_limits(struct ledger *l, uint64_t revision,
		      const struct ledger_limit *limits, size_t nr)
{
	size_t i;

	if (revision <= l->revision)
		return CS_ERR_STALE;
	for (i = 0; i < nr; i++)
		ledger_add_team(l, limits[i].team);
	for (i = 0; i < l->teams->len; i++) {
		struct ledger_team *t =
			&g_array_index(l->teams, struct ledger_team, i);
		int64_t change = find_limit(limits, nr, t->team) - t->limit;

		t->limit += change;
		t->balance += change;
		check_sum(l, t->team, change);
	}
	l->revision = revision;
	return CS_OK;
}

int ledger_assign(struct ledger *l, struct ledger_holder *h, const char *team,
		  int64_t amount)
{
	struct ledger_team *t = ledger_add_team(l, team);

	if (amount <= 0 || t->balance < amount)
		return CS_ERR_LIMIT;
	t->balance -= amount;
	ledger_add_holding(h, team)->balance += amount;
	check_sum(l, team, 0);
	return CS_OK;
}

int ledger_unassign(struct ledger *l, struct ledger_holder *h, const char *team,
		    int64_t amount)
{
	struct ledger_holding *s = ledger_add_holding(h, team);

	if (amount <= 0 || s->balance < amount)
		return CS_ERR_LIMIT;
	s->balance -= amount;
	ledger_add_team(l, team)->balance += amount;
	check_sum(l, team, 0);
	return CS_OK;
}

void ledger_set_wanted(struct ledger_holder *h, const char *team,
		       int64_t amount)
{
	ledger_add_holding(h, team)->wanted = amount;
}

int ledger_send(struct ledger *l, const char *team, const char *to,
		int64_t amount)
{
	struct ledger_team *t = ledger_add_team(l, team);
	struct ledger_transfer transfer = { .amount = amount };

	if (amount <= 0 || t->balance < amount)
		return CS_ERR_LIMIT;
	if (l->outgoing->len >= LEDGER_OUTGOING_MAX)
		return CS_ERR_FULL;
	transfer.id = ++l->sequence;
	cs_copy(transfer.to, sizeof(transfer.to), to);
	cs_copy(transfer.team, sizeof(transfer.team), team);
	t->balance -= amount;
	g_array_append_val(l->outgoing, transfer);
	check_sum(l, team, 0);
	return CS_OK;
}

int64_t ledger_receive(struct ledger *l, const struct ledger *sender)
{
	uint64_t last_id = ledger_last_received(l, sender->account);
	int64_t sum = 0;
	guint i;

	for (i = 0; i < sender->outgoing->len; i++) {
		const struct ledger_transfer *t = &g_array_index(
			sender->outgoing, struct ledger_transfer, i);
		struct ledger_receipt *r;

		if (t->id <= last_id || strcmp(t->to, l->account))
			continue;
		r = rows_add(l->receipts, sender->account);
		r->last_id = last_id = t->id;
		ledger_add_team(l, t->team)->balance += t->amount;
		check_sum(l, t->team, t->amount);
		sum += t->amount;
	}
	return sum;
}

size_t ledger_remove_received(struct ledger *l, const struct ledger *receiver)
{
	uint64_t last_id = ledger_last_received(receiver, l->account);
	size_t removed = 0;
	guint i = 0;

	while (i < l->outgoing->len) {
		struct ledger_transfer t =
			g_array_index(l->outgoing, struct ledger_transfer, i);

		if (t.id > last_id || strcmp(t.to, receiver->account)) {
			i++;
			continue;
		}
		g_array_remove_index(l->outgoing, i);
		check_sum(l, t.team, -t.amount);
		removed++;
	}
	return removed;
}

void ledger_mark_dead(struct ledger *l, struct ledger_holder *h)
{
	h->mark = ++l->marks;
}

void ledger_clear_mark(struct ledger_holder *h)
{
	h->mark = 0;
}

int ledger_reclaim(struct ledger *l, const char *entry, uint64_t incarnation)
{
	struct ledger_holder *h;
	guint pos, i;

	if (!find_holder(l, entry, incarnation, &pos))
		return CS_ERR_MISSING;
	h = &g_array_index(l->holders, struct ledger_holder, pos);
	for (i = 0; i < h->holdings->len; i++) {
		struct ledger_holding *s =
			&g_array_index(h->holdings, struct ledger_holding, i);

		if (s->balance)
			ledger_unassign(l, h, s->team, s->balance);
	}
	g_array_unref(h->holdings);
	g_array_remove_index(l->holders, pos);
	return CS_OK;
}

bool ledger_is_balanced(const struct ledger *l)
{
	guint i;

	for (i = 0; i < l->teams->len; i++) {
		const struct ledger_team *t =
			&g_array_index(l->teams, struct ledger_team, i);

		if (team_sum(l, t->team) != t->expected_sum)
			return false;
		if (t->balance < 0 && !ledger_is_reserve(l))
			return false;
	}
	return true;
}

void ledger_init_expected(struct ledger *l)
{
	guint i, k;

	for (i = 0; i < l->holders->len; i++) {
		GArray *holdings =
			g_array_index(l->holders, struct ledger_holder, i)
				.holdings;

		for (k = 0; k < holdings->len; k++)
			ledger_add_team(l,
					g_array_index(holdings,
						      struct ledger_holding, k)
						.team);
	}
	for (i = 0; i < l->outgoing->len; i++)
		ledger_add_team(l, g_array_index(l->outgoing,
						 struct ledger_transfer, i)
					   .team);
	for (i = 0; i < l->teams->len; i++) {
		struct ledger_team *t =
			&g_array_index(l->teams, struct ledger_team, i);

		t->expected_sum = team_sum(l, t->team);
	}
}
