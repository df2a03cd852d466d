#include "long_record.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "../base/error.h"
#include "../base/json.h"

static const char *const state_names[LONG_STATE_NR] = {
	"waiting", "running", "done", "cancelled", "held", "unknown",
};

const char *long_state_name(enum long_state state)
{
	return (unsigned)state < LONG_STATE_NR ? state_names[state] : "invalid";
}

bool long_state_is_final(enum long_state state)
{
	return state != LONG_WAITING && state != LONG_RUNNING;
}

/* How a field of the record is stored. */
enum field_type { FIELD_TEXT, FIELD_INT, FIELD_BOOL, FIELD_U64 };

struct field {
	const char *name;
	enum field_type type;
	size_t offset, size;
};

#define TEXT(f)                                                                \
	{                                                                      \
#f, FIELD_TEXT, offsetof(struct long_record, f),               \
			sizeof(((struct long_record *)0)->f)                   \
	}
#define OTHER(f, t)                                                            \
	{                                                                      \
#f, t, offsetof(struct long_record, f), 0                      \
	}

static const struct field fields[] = {
	TEXT(id),
	TEXT(team),
	TEXT(pool),
	TEXT(content_type),
	OTHER(is_idempotent, FIELD_BOOL),
	OTHER(is_cancelled, FIELD_BOOL),
	TEXT(owner),
	OTHER(incarnation, FIELD_U64),
	OTHER(attempt, FIELD_INT),
	OTHER(failures, FIELD_INT),
	TEXT(worker),
	TEXT(address),
	TEXT(task_id),
	TEXT(checkpoint),
	OTHER(progress, FIELD_INT),
	OTHER(status, FIELD_INT),
	TEXT(result_type),
	TEXT(reason),
	TEXT(change_id),
};

/* FIELD_U64 is stored as a signed 64-bit integer. */
static json_t *encode_field(const struct long_record *r, const struct field *f)
{
	const char *p = (const char *)r + f->offset;

	switch (f->type) {
	case FIELD_TEXT:
		return json_string(p);
	case FIELD_INT:
		return json_integer(*(const int *)p);
	case FIELD_BOOL:
		return json_boolean(*(const bool *)p);
	default:
		return json_integer((json_int_t)(*(const uint64_t *)p));
	}
}

GBytes *long_record_encode(const struct long_record *r)
{
	json_t *root = json_object();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		json_object_set_new(root, fields[i].name,
				    encode_field(r, &fields[i]));
	json_object_set_new(root, "state",
			    json_string(long_state_name(r->state)));
	return json_to_bytes(root, JSON_SORT_KEYS);
}

/* Refuses values of the wrong type, texts that do not fit and negative ints. */
static bool decode_field(struct long_record *r, const struct field *f,
			 const json_t *v)
{
	char *p = (char *)r + f->offset;

	switch (f->type) {
	case FIELD_TEXT:
		if (!json_is_string(v) || json_string_length(v) >= f->size)
			return false;
		cs_copy(p, f->size, json_string_value(v));
		return true;
	case FIELD_INT:
		if (!json_is_integer(v) || json_integer_value(v) < 0 ||
		    json_integer_value(v) > INT32_MAX)
			return false;
		*(int *)p = (int)json_integer_value(v);
		return true;
	case FIELD_BOOL:
		if (!json_is_boolean(v))
			return false;
		*(bool *)p = json_is_true(v);
		return true;
	default:
		if (!json_is_integer(v))
			return false;
		*(uint64_t *)p = (uint64_t)json_integer_value(v);
		return true;
	}
}

/* Returns false for a name that is not a state. */
static bool decode_state(struct long_record *r, const json_t *v)
{
	const char *name = json_string_value(v);
	size_t i;

	for (i = 0; name && i < LONG_STATE_NR; i++) {
		if (!strcmp(name, state_names[i])) {
			r->state = (enum long_state)i;
			return true;
		}
	}
	return false;
}

int long_record_decode(GBytes *bytes, struct long_record *r,
		       struct cs_error *err)
{
	const char *bad = NULL;
	json_t *root;
	size_t i;

	memset(r, 0, sizeof(*r));
	if (!bytes)
		return cs_error_set(err, CS_ERR_INVALID, "long_record", NULL,
				    "no value");
	root = json_from_bytes(bytes, 0, NULL);
	if (!json_is_object(root)) {
		json_decref(root);
		return cs_error_set(err, CS_ERR_INVALID, "long_record", NULL,
				    "not a JSON object");
	}
	for (i = 0; !bad && i < G_N_ELEMENTS(fields); i++)
		if (!decode_field(r, &fields[i],
				  json_object_get(root, fields[i].name)))
			bad = fields[i].name;
	if (!bad && !decode_state(r, json_object_get(root, "state")))
		bad = "state";
	json_decref(root);
	if (bad)
		return cs_error_set(err, CS_ERR_INVALID, "long_record", NULL,
				    "missing or malformed field \"%s\"", bad);
	return CS_OK;
}

GBytes *long_body_encode(GBytes *body)
{
	gsize len = 0;
	const guchar *data = body ? g_bytes_get_data(body, &len) : NULL;
	gchar *text = g_base64_encode(data ? data : (const guchar *)"", len);

	return g_bytes_new_take(text, strlen(text));
}

GBytes *long_body_decode(GBytes *value)
{
	gsize len = 0, out_len = 0;
	const char *data = g_bytes_get_data(value, &len);
	gchar *text = g_strndup(data ? data : "", len);
	guchar *out = g_base64_decode(text, &out_len);

	g_free(text);
	return g_bytes_new_take(out, out_len);
}

void long_record_describe(const struct long_record *r, GString *json)
{
	json_t *root = json_object();

	json_object_set_new(root, "job", json_string(r->id));
	json_object_set_new(root, "state",
			    json_string(long_state_name(r->state)));
	json_object_set_new(root, "progress", json_integer(r->progress));
	json_object_set_new(root, "attempt", json_integer(r->attempt));
	if (*r->reason)
		json_object_set_new(root, "reason", json_string(r->reason));
	if (r->is_cancelled)
		json_object_set_new(root, "cancelled", json_true());
	json_append(json, root, JSON_SORT_KEYS);
}

void long_record_id(const char *team, const char *request_id, GRand *rng,
		    char out[CS_NAME_MAX])
{
	char key[CS_NAME_MAX + CS_REQUEST_ID_MAX + 1];
	XXH128_hash_t h;

	if (!*request_id) {
		h.high64 = ((uint64_t)g_rand_int(rng) << 32) | g_rand_int(rng);
		h.low64 = ((uint64_t)g_rand_int(rng) << 32) | g_rand_int(rng);
	} else {
		g_snprintf(key, sizeof(key), "%s %s", team, request_id);
		h = XXH3_128bits(key, strlen(key));
	}
	g_snprintf(out, CS_NAME_MAX, "%016" PRIx64 "%016" PRIx64, h.high64,
		   h.low64);
}
