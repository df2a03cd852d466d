#include "ledger_codec.h"

#include <jansson.h>
#include <string.h>

#include "../base/error.h"
#include "../base/json.h"

/* A team is [balance, wanted]; a team with both 0 is left out. */
static json_t *encode_holder(const struct ledger_holder *h)
{
	json_t *holdings = json_object();
	guint i;

	for (i = 0; i < h->holdings->len; i++) {
		const struct ledger_holding *s =
			&g_array_index(h->holdings, struct ledger_holding, i);

		if (s->balance || s->wanted)
			json_object_set_new(holdings, s->team,
					    json_pack("[I,I]",
						      (json_int_t)s->balance,
						      (json_int_t)s->wanted));
	}
	return json_pack("{s:s,s:I,s:I,s:I,s:o}", "entry", h->entry,
			 "incarnation", (json_int_t)h->incarnation, "run_ms",
			 (json_int_t)h->run_ms, "mark", (json_int_t)h->mark,
			 "teams", holdings);
}

/* A team is [balance, limit]; a team with both 0 is left out. */
static json_t *encode_teams(const struct ledger *l)
{
	json_t *teams = json_object();
	guint i;

	for (i = 0; i < l->teams->len; i++) {
		const struct ledger_team *t =
			&g_array_index(l->teams, struct ledger_team, i);

		if (t->balance || t->limit)
			json_object_set_new(teams, t->team,
					    json_pack("[I,I]",
						      (json_int_t)t->balance,
						      (json_int_t)t->limit));
	}
	return teams;
}

GBytes *ledger_encode(const struct ledger *l)
{
	json_t *holders = json_array(), *outgoing = json_array();
	json_t *receipts = json_object(), *root;
	guint i;

	for (i = 0; i < l->holders->len; i++)
		json_array_append_new(
			holders, encode_holder(&g_array_index(
					 l->holders, struct ledger_holder, i)));
	for (i = 0; i < l->outgoing->len; i++) {
		const struct ledger_transfer *t =
			&g_array_index(l->outgoing, struct ledger_transfer, i);

		json_array_append_new(outgoing,
				      json_pack("[I,s,s,I]", (json_int_t)t->id,
						t->to, t->team,
						(json_int_t)t->amount));
	}
	for (i = 0; i < l->receipts->len; i++) {
		const struct ledger_receipt *r =
			&g_array_index(l->receipts, struct ledger_receipt, i);

		json_object_set_new(receipts, r->sender,
				    json_integer((json_int_t)r->last_id));
	}
	root = json_pack("{s:s,s:s,s:I,s:I,s:I,s:o,s:o,s:o,s:o}", "account",
			 l->account, "change", l->change_id, "revision",
			 (json_int_t)l->revision, "sequence",
			 (json_int_t)l->sequence, "marks", (json_int_t)l->marks,
			 "teams", encode_teams(l), "holders", holders,
			 "outgoing", outgoing, "received", receipts);
	return json_to_bytes(root, 0);
}

/* True for a name that is not empty and not too long. */
static bool is_name(const char *name)
{
	return name && *name && strlen(name) < CS_NAME_MAX;
}

/* Reads an integer in [min, max]. */
static bool get_integer(const json_t *value, int64_t min, int64_t max,
			int64_t *out)
{
	if (!json_is_integer(value) || json_integer_value(value) < min ||
	    json_integer_value(value) > max)
		return false;
	*out = json_integer_value(value);
	return true;
}

static bool get_counter(const json_t *object, const char *key, uint64_t *out)
{
	int64_t value;

	if (!get_integer(json_object_get(object, key), 0, INT64_MAX - 1,
			 &value))
		return false;
	*out = (uint64_t)value;
	return true;
}

/* Only the reserve may have limits and negative balances. */
static bool decode_teams(struct ledger *l, json_t *teams)
{
	int64_t min = ledger_is_reserve(l) ? -LEDGER_AMOUNT_MAX : 0;
	int64_t limit_max = ledger_is_reserve(l) ? LEDGER_AMOUNT_MAX : 0;
	const char *name;
	json_t *row;

	if (!json_is_object(teams))
		return false;
	json_object_foreach(teams, name, row)
	{
		int64_t balance, limit;
		struct ledger_team *t;

		if (!is_name(name) || json_array_size(row) != 2 ||
		    !get_integer(json_array_get(row, 0), min, LEDGER_AMOUNT_MAX,
				 &balance) ||
		    !get_integer(json_array_get(row, 1), 0, limit_max, &limit))
			return false;
		t = ledger_add_team(l, name);
		t->balance = balance;
		t->limit = limit;
	}
	return true;
}

/* Balances and wanted permits are never negative. */
static bool decode_holdings(struct ledger_holder *h, json_t *holdings)
{
	const char *name;
	json_t *row;

	if (!json_is_object(holdings))
		return false;
	json_object_foreach(holdings, name, row)
	{
		int64_t balance, wanted;
		struct ledger_holding *s;

		if (!is_name(name) || json_array_size(row) != 2 ||
		    !get_integer(json_array_get(row, 0), 0, LEDGER_AMOUNT_MAX,
				 &balance) ||
		    !get_integer(json_array_get(row, 1), 0, LEDGER_AMOUNT_MAX,
				 &wanted))
			return false;
		s = ledger_add_holding(h, name);
		s->balance = balance;
		s->wanted = wanted;
	}
	return true;
}

/* A second row for the same incarnation of an entry is an error. */
static bool decode_holders(struct ledger *l, json_t *holders)
{
	size_t i;

	if (!json_is_array(holders))
		return false;
	for (i = 0; i < json_array_size(holders); i++) {
		const json_t *row = json_array_get(holders, i);
		const char *entry =
			json_string_value(json_object_get(row, "entry"));
		uint64_t incarnation, mark;
		struct ledger_holder *h;
		int64_t run_ms;

		if (!is_name(entry) ||
		    !get_counter(row, "incarnation", &incarnation) ||
		    !get_counter(row, "mark", &mark) ||
		    !get_integer(json_object_get(row, "run_ms"), 0,
				 LEDGER_AMOUNT_MAX, &run_ms) ||
		    ledger_find_holder(l, entry, incarnation))
			return false;
		h = ledger_add_holder(l, entry, incarnation);
		h->mark = mark;
		h->run_ms = run_ms;
		if (!decode_holdings(h, json_object_get(row, "teams")))
			return false;
	}
	return true;
}

/*
 * Transfers are [id, to, team, amount], with ids that rise and do not exceed
 * the document's sequence, which must be decoded before.
 */
static bool decode_outgoing(struct ledger *l, json_t *outgoing)
{
	uint64_t last = 0;
	size_t i;

	if (!json_is_array(outgoing) ||
	    json_array_size(outgoing) > LEDGER_OUTGOING_MAX)
		return false;
	for (i = 0; i < json_array_size(outgoing); i++) {
		json_t *row = json_array_get(outgoing, i);
		struct ledger_transfer t = { 0 };
		const char *to = json_string_value(json_array_get(row, 1));
		const char *team = json_string_value(json_array_get(row, 2));
		int64_t id;

		if (json_array_size(row) != 4 || !is_name(to) ||
		    !is_name(team) ||
		    !get_integer(json_array_get(row, 0), (int64_t)last + 1,
				 (int64_t)l->sequence, &id) ||
		    !get_integer(json_array_get(row, 3), 1, LEDGER_AMOUNT_MAX,
				 &t.amount))
			return false;
		t.id = last = (uint64_t)id;
		cs_copy(t.to, sizeof(t.to), to);
		cs_copy(t.team, sizeof(t.team), team);
		g_array_append_val(l->outgoing, t);
	}
	return true;
}

static int compare_receipts(gconstpointer a, gconstpointer b)
{
	const struct ledger_receipt *x = a, *y = b;

	return strcmp(x->sender, y->sender);
}

/* A receipt is the id of the last transfer credited from a sender. */
static bool decode_receipts(struct ledger *l, json_t *receipts)
{
	const char *name;
	json_t *row;

	if (!json_is_object(receipts))
		return false;
	json_object_foreach(receipts, name, row)
	{
		struct ledger_receipt r = { 0 };
		int64_t last_id;

		if (!is_name(name) ||
		    !get_integer(row, 0, INT64_MAX - 1, &last_id))
			return false;
		cs_copy(r.sender, sizeof(r.sender), name);
		r.last_id = (uint64_t)last_id;
		g_array_append_val(l->receipts, r);
	}
	g_array_sort(l->receipts, compare_receipts);
	return true;
}

struct ledger *ledger_decode(GBytes *bytes, const char *account,
			     struct cs_error *err)
{
	struct ledger *l = ledger_create(account);
	json_error_t json_err;
	const char *name, *change;
	json_t *root =
		json_from_bytes(bytes, JSON_REJECT_DUPLICATES, &json_err);

	name = json_string_value(json_object_get(root, "account"));
	change = json_string_value(json_object_get(root, "change"));
	if (!name || strcmp(name, account) || !change ||
	    strlen(change) >= sizeof(l->change_id) ||
	    !get_counter(root, "revision", &l->revision) ||
	    !get_counter(root, "sequence", &l->sequence) ||
	    !get_counter(root, "marks", &l->marks) ||
	    !decode_teams(l, json_object_get(root, "teams")) ||
	    !decode_holders(l, json_object_get(root, "holders")) ||
	    !decode_outgoing(l, json_object_get(root, "outgoing")) ||
	    !decode_receipts(l, json_object_get(root, "received"))) {
		cs_error_set(err, CS_ERR_INVALID, "ledger_decode", account,
			     "not a ledger document of this account: %s",
			     root ? "a field is missing or out of range" :
				    json_err.text);
		ledger_destroy(l);
		l = NULL;
	} else {
		cs_copy(l->change_id, sizeof(l->change_id), change);
		ledger_init_expected(l);
	}
	json_decref(root);
	return l;
}
