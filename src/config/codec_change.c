#include "codec.h"

#include <string.h>

#include "../base/error.h"
#include "codec_value.h"

/* The fields of struct change; the values are bit numbers in struct op_row. */
enum change_field {
	CF_NAME,
	CF_POOL,
	CF_TEAM,
	CF_HOST,
	CF_RACK,
	CF_DATA_CENTRE,
	CF_ADDRESS,
	CF_LABEL,
	CF_DIGEST,
	CF_IS_OPEN,
	CF_IS_SPARE,
	CF_SHARE,
	CF_LIMIT,
	CF_BUDGET_PERCENT,
	CF_SLOTS,
	CF_NR
};

#define BIT(field) (1u << (field))

#define OFFSET(member) offsetof(struct change, member)

static const struct field fields[CF_NR] = {
	[CF_NAME] = { "name", &field_name, OFFSET(name), 0, 0, false },
	[CF_POOL] = { "pool", &field_name, OFFSET(pool), 0, 0, false },
	[CF_TEAM] = { "team", &field_optional_name, OFFSET(team), 0, 0, false },
	[CF_HOST] = { "host", &field_name, OFFSET(host), 0, 0, false },
	[CF_RACK] = { "rack", &field_name, OFFSET(rack), 0, 0, false },
	[CF_DATA_CENTRE] = { "data_centre", &field_name, OFFSET(data_centre), 0,
			     0, false },
	[CF_ADDRESS] = { "address", &field_address, OFFSET(address), 0, 0,
			 false },
	[CF_LABEL] = { "label", &field_name, OFFSET(label), 0, 0, false },
	[CF_DIGEST] = { "digest", &field_digest, OFFSET(digest), 0, 0, false },
	[CF_IS_OPEN] = { "is_open", &field_boolean, OFFSET(is_open), 0, 0,
			 false },
	[CF_IS_SPARE] = { "is_spare", &field_boolean, OFFSET(is_spare), 0, 0,
			  false },
	[CF_SHARE] = { "share", &field_integer, OFFSET(share), TEAM_SHARE_MIN,
		       TEAM_SHARE_MAX, false },
	[CF_LIMIT] = { "limit", &field_integer, OFFSET(limit), 0,
		       TEAM_LIMIT_MAX, false },
	[CF_BUDGET_PERCENT] = { "budget_percent", &field_integer,
				OFFSET(budget_percent), 0, 100, false },
	[CF_SLOTS] = { "slots", &field_integer, OFFSET(slots), 1,
		       WORKER_SLOTS_MAX, false },
};

/* Name of an operation and the fields that it uses. */
struct op_row {
	const char *name;
	unsigned required, optional; /* BIT(enum change_field) */
};

static const struct op_row ops[CHANGE_OP_NR] = {
	[CHANGE_TEAM_SET] = { "team-set",
			      BIT(CF_NAME) | BIT(CF_SHARE) | BIT(CF_LIMIT), 0 },
	[CHANGE_TEAM_REMOVE] = { "team-remove", BIT(CF_NAME), 0 },
	[CHANGE_KEY_GRANT] = { "key-grant",
			       BIT(CF_NAME) | BIT(CF_DIGEST) | BIT(CF_LABEL),
			       0 },
	[CHANGE_KEY_WITHDRAW] = { "key-withdraw", BIT(CF_NAME),
				  BIT(CF_DIGEST) | BIT(CF_LABEL) },
	[CHANGE_POOL_SET] = { "pool-set", BIT(CF_NAME) | BIT(CF_BUDGET_PERCENT),
			      BIT(CF_IS_SPARE) },
	[CHANGE_QUEUE_SET] = { "queue-set", BIT(CF_NAME) | BIT(CF_POOL),
			       BIT(CF_IS_OPEN) | BIT(CF_TEAM) },
	[CHANGE_PRESET] = { "preset", BIT(CF_NAME), 0 },
	[CHANGE_DATA_CENTRE_OUT] = { "data-centre-out", BIT(CF_NAME), 0 },
	[CHANGE_DATA_CENTRE_IN] = { "data-centre-in", BIT(CF_NAME), 0 },
	[CHANGE_HOST_SET] = { "host-set",
			      BIT(CF_NAME) | BIT(CF_RACK) |
				      BIT(CF_DATA_CENTRE) | BIT(CF_POOL),
			      0 },
	[CHANGE_HOST_DRAIN] = { "host-drain", BIT(CF_NAME), 0 },
	[CHANGE_HOST_EMPTY] = { "host-empty", BIT(CF_NAME), 0 },
	[CHANGE_HOST_RETURN] = { "host-return", BIT(CF_NAME), 0 },
	[CHANGE_HOST_MOVE] = { "host-move", BIT(CF_NAME) | BIT(CF_POOL), 0 },
	[CHANGE_WORKER_SET] = { "worker-set",
				BIT(CF_NAME) | BIT(CF_HOST) | BIT(CF_ADDRESS) |
					BIT(CF_SLOTS),
				0 },
};

const char *change_op_name(enum change_op op)
{
	return (unsigned)op < CHANGE_OP_NR ? ops[op].name : "invalid";
}

static const struct op_row *find_op(const char *name, enum change_op *op)
{
	int i;

	for (i = 0; name && i < CHANGE_OP_NR; i++) {
		if (!strcmp(ops[i].name, name)) {
			*op = i;
			return &ops[i];
		}
	}
	return NULL;
}

/* Reads one field if the operation uses it. */
static void decode_field(const struct op_row *op, enum change_field i,
			 json_t *item, struct change *change, GString *reason)
{
	struct field field = fields[i];

	if (!((op->required | op->optional) & BIT(i)))
		return;
	field.is_optional = (op->optional & BIT(i)) != 0;
	if (!codec_value_read(&field, item, change, reason))
		g_string_append(reason, "; ");
	else if (i == CF_DIGEST)
		change->has_digest = json_object_get(item, field.name) != NULL;
}

/* Decodes one change; appends its faults, each followed by "; ". */
static void decode_change(json_t *item, struct change *change, GString *reason)
{
	const struct op_row *op;
	const char *key;
	json_t *value;
	size_t i;

	op = find_op(json_string_value(json_object_get(item, "op")),
		     &change->op);
	if (!op) {
		g_string_append(reason, "op is missing or unknown; ");
		return;
	}
	json_object_foreach(item, key, value)
	{
		if (!strcmp(key, "op"))
			continue;
		if (!schema_field(fields, CF_NR, key, &i) ||
		    !((op->required | op->optional) & BIT(i)))
			g_string_append_printf(
				reason, "unknown field \"%.64s\"; ", key);
	}
	for (i = 0; i < CF_NR; i++)
		decode_field(op, i, item, change, reason);
	if (change->op == CHANGE_KEY_WITHDRAW && !change->has_digest &&
	    !*change->label)
		g_string_append(reason, "digest or label is missing; ");
}

int changes_decode_json(GBytes *bytes, struct change **changes, size_t *nr,
			struct cs_error *err)
{
	GString *faults, *reason;
	json_error_t error;
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);
	json_t *root, *item;
	size_t i;
	int ret = CS_OK;

	*changes = NULL;
	*nr = 0;
	if (len > (gsize)CS_VALUE_MAX)
		return cs_error_set(err, CS_ERR_INVALID, "changes_decode", NULL,
				    "longer than %zu bytes", CS_VALUE_MAX);
	root = json_loadb(data ? data : "", len, JSON_REJECT_DUPLICATES,
			  &error);
	if (!root)
		return cs_error_set(err, CS_ERR_INVALID, "changes_decode", NULL,
				    "line %d: %s", error.line, error.text);
	if (!json_is_array(root)) {
		json_decref(root);
		return cs_error_set(err, CS_ERR_INVALID, "changes_decode", NULL,
				    "a list of changes was expected");
	}
	faults = g_string_new(NULL);
	reason = g_string_new(NULL);
	*nr = json_array_size(root);
	*changes = g_new0(struct change, *nr);
	json_array_foreach(root, i, item)
	{
		g_string_truncate(reason, 0);
		decode_change(item, &(*changes)[i], reason);
		if (reason->len)
			g_string_append_printf(faults, "[%zu]: %s", i,
					       reason->str);
	}
	if (faults->len) {
		ret = cs_error_set(err, CS_ERR_INVALID, "changes_decode", NULL,
				   "%s", faults->str);
		g_clear_pointer(changes, g_free);
		*nr = 0;
	}
	g_string_free(faults, TRUE);
	g_string_free(reason, TRUE);
	json_decref(root);
	return ret;
}

/* True if an optional field is to be written: a digest or label only if set. */
static bool has_optional(const struct change *change, enum change_field i)
{
	switch (i) {
	case CF_DIGEST:
		return change->has_digest;
	case CF_LABEL:
		return *change->label;
	default:
		return true;
	}
}

GBytes *changes_encode_json(const struct change *changes, size_t nr)
{
	json_t *root = json_array();
	size_t i, k;

	for (i = 0; i < nr; i++) {
		json_t *item = json_object();
		const struct op_row *op;

		if ((unsigned)changes[i].op >= CHANGE_OP_NR) {
			json_decref(item);
			continue;
		}
		op = &ops[changes[i].op];
		json_object_set_new(item, "op", json_string(op->name));
		for (k = 0; k < CF_NR; k++)
			if (op->required & BIT(k) ||
			    (op->optional & BIT(k) &&
			     has_optional(&changes[i], k)))
				codec_value_write(&fields[k], &changes[i],
						  item);
		json_array_append_new(root, item);
	}
	return codec_value_dump(root);
}
