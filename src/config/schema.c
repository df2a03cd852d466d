#include "schema.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "../base/error.h"

/* Large enough for any row or change; values are parsed into it as a check. */
union scratch_row {
	struct doc_data_centre data_centre;
	struct doc_host host;
	struct doc_worker worker;
	struct doc_pool pool;
	struct doc_queue queue;
	struct doc_team team;
	struct change change;
};

bool schema_is_name(const char *name)
{
	size_t len = strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-");

	return len > 0 && len < CS_NAME_MAX && !name[len];
}

static bool parse_name(const struct field *field, const char *text, void *row)
{
	if (!schema_is_name(text))
		return false;
	cs_copy((char *)row + field->offset, CS_NAME_MAX, text);
	return true;
}

static bool parse_optional_name(const struct field *field, const char *text,
				void *row)
{
	if (*text)
		return parse_name(field, text, row);
	*((char *)row + field->offset) = '\0';
	return true;
}

static void format_text(const struct field *field, const void *row,
			GString *out)
{
	g_string_append(out, (const char *)row + field->offset);
}

/* True for "IPv4:port" and "[IPv6]:port" with a port of at least 1. */
static bool is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	char host[CS_ADDRESS_MAX];
	size_t len, digits;
	long port;

	if (!colon || strlen(text) >= CS_ADDRESS_MAX)
		return false;
	len = (size_t)(colon - text);
	digits = strspn(colon + 1, "0123456789");
	port = strtol(colon + 1, NULL, 10);
	if (!digits || digits > 5 || colon[1 + digits] || !port || port > 65535)
		return false;
	if (len >= 2 && text[0] == '[' && text[len - 1] == ']') {
		cs_copy(host, len - 1, text + 1);
		return strchr(host, ':') && g_hostname_is_ip_address(host);
	}
	cs_copy(host, len + 1, text);
	return !strchr(host, ':') && g_hostname_is_ip_address(host);
}

static bool parse_address(const struct field *field, const char *text,
			  void *row)
{
	if (!is_address(text))
		return false;
	cs_copy((char *)row + field->offset, CS_ADDRESS_MAX, text);
	return true;
}

/*
 * Accepts decimal digits with an optional minus. strtol() alone would also
 * accept white space and a plus.
 */
static bool parse_integer(const struct field *field, const char *text,
			  void *row)
{
	char *end;
	long value;
	int number;

	if (!*text || strspn(text, "-0123456789") != strlen(text))
		return false;
	errno = 0;
	value = strtol(text, &end, 10);
	if (errno || *end || value < field->min || value > field->max)
		return false;
	number = (int)value;
	memcpy((char *)row + field->offset, &number, sizeof(number));
	return true;
}

static void format_integer(const struct field *field, const void *row,
			   GString *out)
{
	int number;

	memcpy(&number, (const char *)row + field->offset, sizeof(number));
	g_string_append_printf(out, "%d", number);
}

static bool parse_boolean(const struct field *field, const char *text,
			  void *row)
{
	bool *flag = (bool *)((char *)row + field->offset);

	if (strcmp(text, "true") != 0 && strcmp(text, "false") != 0)
		return false;
	*flag = *text == 't';
	return true;
}

static void format_boolean(const struct field *field, const void *row,
			   GString *out)
{
	const bool *flag = (const bool *)((const char *)row + field->offset);

	g_string_append(out, *flag ? "true" : "false");
}

static const char *const host_states[] = {
	[HOST_ASSIGNED] = "assigned",
	[HOST_DRAINING] = "draining",
	[HOST_EMPTY] = "empty",
};

/* Returns false if text names no state. */
static bool parse_host_state(const struct field *field, const char *text,
			     void *row)
{
	enum host_state state;

	for (state = HOST_ASSIGNED; state <= HOST_EMPTY; state++) {
		if (!strcmp(host_states[state], text)) {
			memcpy((char *)row + field->offset, &state,
			       sizeof(state));
			return true;
		}
	}
	return false;
}

static void format_host_state(const struct field *field, const void *row,
			      GString *out)
{
	enum host_state state;

	memcpy(&state, (const char *)row + field->offset, sizeof(state));
	g_string_append(out,
			state <= HOST_EMPTY ? host_states[state] : "invalid");
}

void schema_digest_format(const uint8_t digest[CS_DIGEST_LEN], GString *out)
{
	char text[2 * CS_DIGEST_LEN + 1];

	sodium_bin2hex(text, sizeof(text), digest, CS_DIGEST_LEN);
	g_string_append(out, text);
}

bool schema_digest_parse(const char *text, uint8_t digest[CS_DIGEST_LEN])
{
	size_t len = strlen(text), bytes;

	return len == 2 * (size_t)CS_DIGEST_LEN &&
	       !sodium_hex2bin(digest, CS_DIGEST_LEN, text, len, NULL, &bytes,
			       NULL);
}

static bool parse_digest(const struct field *field, const char *text, void *row)
{
	return schema_digest_parse(text, (uint8_t *)row + field->offset);
}

static void format_digest(const struct field *field, const void *row,
			  GString *out)
{
	schema_digest_format((const uint8_t *)row + field->offset, out);
}

#define NAME_RULE "1 to 63 characters of a-z, 0-9 and -"

const struct field_type field_name = { FIELD_TEXT, "a name of " NAME_RULE,
				       parse_name, format_text };
const struct field_type field_optional_name = { FIELD_TEXT,
						"empty or a name of " NAME_RULE,
						parse_optional_name,
						format_text };
const struct field_type field_address = { FIELD_TEXT, "an IP address and port",
					  parse_address, format_text };
const struct field_type field_integer = { FIELD_INTEGER, "an integer",
					  parse_integer, format_integer };
const struct field_type field_boolean = { FIELD_BOOLEAN, "true or false",
					  parse_boolean, format_boolean };
const struct field_type field_host_state = { FIELD_TEXT,
					     "assigned, draining or empty",
					     parse_host_state,
					     format_host_state };
const struct field_type field_digest = { FIELD_TEXT, "64 hexadecimal digits",
					 parse_digest, format_digest };

#define OFFSET(type, member) offsetof(struct type, member)

static const struct field data_centre_fields[] = {
	{ .name = "region",
	  .type = &field_optional_name,
	  .offset = OFFSET(doc_data_centre, region),
	  .is_optional = true },
	{ .name = "is_out",
	  .type = &field_boolean,
	  .offset = OFFSET(doc_data_centre, is_out),
	  .is_optional = true },
};

static const struct field pool_fields[] = {
	{ .name = "is_spare",
	  .type = &field_boolean,
	  .offset = OFFSET(doc_pool, is_spare),
	  .is_optional = true },
	{ .name = "budget_percent",
	  .type = &field_integer,
	  .offset = OFFSET(doc_pool, budget_percent),
	  .min = 0,
	  .max = 100 },
};

static const struct field host_fields[] = {
	{ .name = "rack",
	  .type = &field_name,
	  .offset = OFFSET(doc_host, rack) },
	{ .name = "data_centre",
	  .type = &field_name,
	  .offset = OFFSET(doc_host, data_centre) },
	{ .name = "pool",
	  .type = &field_name,
	  .offset = OFFSET(doc_host, pool) },
	{ .name = "state",
	  .type = &field_host_state,
	  .offset = OFFSET(doc_host, state),
	  .is_optional = true },
};

/* A host has 32 cores, so more than 10,000 slots is surely a typing error. */
static const struct field worker_fields[] = {
	{ .name = "host",
	  .type = &field_name,
	  .offset = OFFSET(doc_worker, host) },
	{ .name = "address",
	  .type = &field_address,
	  .offset = OFFSET(doc_worker, address) },
	{ .name = "slots",
	  .type = &field_integer,
	  .offset = OFFSET(doc_worker, slots),
	  .min = 1,
	  .max = WORKER_SLOTS_MAX },
};

static const struct field team_fields[] = {
	{ .name = "share",
	  .type = &field_integer,
	  .offset = OFFSET(doc_team, share),
	  .min = TEAM_SHARE_MIN,
	  .max = TEAM_SHARE_MAX },
	{ .name = "limit",
	  .type = &field_integer,
	  .offset = OFFSET(doc_team, limit),
	  .min = 0,
	  .max = TEAM_LIMIT_MAX },
};

static const struct field queue_fields[] = {
	{ .name = "pool",
	  .type = &field_name,
	  .offset = OFFSET(doc_queue, pool) },
	{ .name = "is_open",
	  .type = &field_boolean,
	  .offset = OFFSET(doc_queue, is_open),
	  .is_optional = true },
	{ .name = "team",
	  .type = &field_optional_name,
	  .offset = OFFSET(doc_queue, team),
	  .is_optional = true },
};

const struct row_schema row_schemas[DOC_TABLE_NR] = {
	[DOC_DATA_CENTRES] = { "data-centre", "data_centres",
			       data_centre_fields,
			       G_N_ELEMENTS(data_centre_fields) },
	[DOC_POOLS] = { "pool", "pools", pool_fields,
			G_N_ELEMENTS(pool_fields) },
	[DOC_HOSTS] = { "host", "hosts", host_fields,
			G_N_ELEMENTS(host_fields) },
	[DOC_WORKERS] = { "worker", "workers", worker_fields,
			  G_N_ELEMENTS(worker_fields) },
	[DOC_TEAMS] = { "team", "teams", team_fields,
			G_N_ELEMENTS(team_fields) },
	[DOC_QUEUES] = { "queue", "queues", queue_fields,
			 G_N_ELEMENTS(queue_fields) },
};

void schema_describe(const struct field *field, GString *out)
{
	g_string_append(out, field->type->expected);
	if (field->type == &field_integer)
		g_string_append_printf(out, " from %d to %d", field->min,
				       field->max);
}

const struct field *schema_field(const struct field *fields, size_t nr,
				 const char *name, size_t *i)
{
	for (*i = 0; *i < nr; (*i)++)
		if (!strcmp(fields[*i].name, name))
			return &fields[*i];
	return NULL;
}

/* A value is valid if parse() accepts the output of format(). */
const struct field *schema_invalid_field(const struct field *fields, size_t nr,
					 const void *row)
{
	GString *text = g_string_new(NULL);
	const struct field *invalid = NULL;
	union scratch_row scratch;
	size_t i;

	for (i = 0; i < nr && !invalid; i++) {
		g_string_truncate(text, 0);
		fields[i].type->format(&fields[i], row, text);
		if (!fields[i].type->parse(&fields[i], text->str, &scratch))
			invalid = &fields[i];
	}
	g_string_free(text, TRUE);
	return invalid;
}
