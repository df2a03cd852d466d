#include "settings_value.h"

#include <event2/util.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <sodium.h>
#include <string.h>

#include "../base/error.h"
#include "../base/log.h"

/* A unit of a duration or size, written after the number. */
struct unit {
	const char *suffix;
	int64_t factor;
};

/* Largest unit first, as append_number() requires. */
static const struct unit duration_units[] = { { "m", 60000 },
					      { "s", 1000 },
					      { "ms", 1 },
					      { NULL, 0 } };

static const struct unit size_units[] = { { "m", INT64_C(1024) * 1024 },
					  { "k", 1024 },
					  { "", 1 },
					  { NULL, 0 } };

static const struct unit no_units[] = { { "", 1 }, { NULL, 0 } };

/*
 * Parses digits followed by one of the units. At most nine digits are accepted:
 * that is beyond every range, and the product can't overflow.
 */
static bool parse_number(const struct settings_key *key, const char *value,
			 const struct unit *units, int64_t *out)
{
	size_t digits = strspn(value, "0123456789");
	const struct unit *u = units;

	if (!digits || digits > 9)
		return false;
	while (u->suffix && strcmp(u->suffix, value + digits))
		u++;
	if (!u->suffix)
		return false;
	*out = g_ascii_strtoll(value, NULL, 10) * u->factor;
	return *out >= key->min && *out <= key->max;
}

/* Appends a number with the largest unit that divides it. */
static void append_number(GString *out, int64_t n, const struct unit *u)
{
	while (u[1].suffix && (!n || n % u->factor))
		u++;
	g_string_append_printf(out, "%" PRId64 "%s", n / u->factor, u->suffix);
}

static void append_range(GString *out, const struct settings_key *key,
			 const char *what, const struct unit *units)
{
	g_string_append_printf(out, "%s from ", what);
	append_number(out, key->min, units);
	g_string_append(out, " to ");
	append_number(out, key->max, units);
}

/* The field gets milliseconds. */
static bool parse_duration(const struct settings_key *key, const char *value,
			   void *field)
{
	return parse_number(key, value, duration_units, field);
}

static void describe_duration(const struct settings_key *key, GString *out)
{
	append_range(out, key, "a duration with a unit (250ms, 7s, 5m)",
		     duration_units);
}

static bool parse_size(const struct settings_key *key, const char *value,
		       void *field)
{
	return parse_number(key, value, size_units, field);
}

static void describe_size(const struct settings_key *key, GString *out)
{
	append_range(out, key, "a size in bytes, or with k or m", size_units);
}

static bool parse_count(const struct settings_key *key, const char *value,
			void *field)
{
	int64_t n;

	if (!parse_number(key, value, no_units, &n))
		return false;
	*(int *)field = (int)n;
	return true;
}

static void describe_count(const struct settings_key *key, GString *out)
{
	append_range(out, key, "a number", no_units);
}

/* Here min and max are bounds of the length. */
static bool parse_name(const struct settings_key *key, const char *value,
		       void *field)
{
	size_t len = strlen(value);

	if ((int64_t)len < key->min || (int64_t)len > key->max)
		return false;
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(value[i]) && !strchr("._-", value[i]))
			return false;
	cs_copy(field, CS_NAME_MAX, value);
	return true;
}

static void describe_name(const struct settings_key *key, GString *out)
{
	g_string_append_printf(out,
			       "%" PRId64 " to %" PRId64
			       " letters, digits, \".\", \"_\" or \"-\"",
			       key->min, key->max);
}

/* Only numeric addresses are accepted: host names are not resolved. */
static bool parse_address(const struct settings_key *key, const char *value,
			  void *field)
{
	struct sockaddr_storage addr = { 0 };
	int len = sizeof(addr);
	in_port_t port;

	(void)key;
	if (strlen(value) >= CS_ADDRESS_MAX ||
	    evutil_parse_sockaddr_port(value, (struct sockaddr *)&addr, &len))
		return false;
	if (addr.ss_family == AF_INET6)
		port = ((struct sockaddr_in6 *)&addr)->sin6_port;
	else
		port = ((struct sockaddr_in *)&addr)->sin_port;
	if (!port)
		return false;
	cs_copy(field, CS_ADDRESS_MAX, value);
	return true;
}

static void describe_address(const struct settings_key *key, GString *out)
{
	(void)key;
	g_string_append(out, "a numeric IP address and port "
			     "(10.0.0.1:7000 or [::1]:7000)");
}

static bool parse_log_level(const struct settings_key *key, const char *value,
			    void *field)
{
	(void)key;
	return !log_level_parse(field, value);
}

static void describe_log_level(const struct settings_key *key, GString *out)
{
	(void)key;
	g_string_append(out, "debug, info, warn, error or fatal");
}

/* Returns false if value names no mode. */
static bool parse_isolated(const struct settings_key *key, const char *value,
			   void *field)
{
	static const char *const names[] = {
		[ISOLATED_SERVE] = "serve",
		[ISOLATED_KNOWN] = "known",
		[ISOLATED_REFUSE] = "refuse",
	};
	size_t i;

	(void)key;
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!strcmp(value, names[i])) {
			*(enum isolated_mode *)field = (enum isolated_mode)i;
			return true;
		}
	}
	return false;
}

static void describe_isolated(const struct settings_key *key, GString *out)
{
	(void)key;
	g_string_append(out, "serve, known or refuse");
}

static bool parse_switch(const struct settings_key *key, const char *value,
			 void *field)
{
	bool is_on = !strcmp(value, "on");

	(void)key;
	if (!is_on && strcmp(value, "off") != 0)
		return false;
	*(bool *)field = is_on;
	return true;
}

static void describe_switch(const struct settings_key *key, GString *out)
{
	(void)key;
	g_string_append(out, "on or off");
}

/* Visible ASCII only, since a token is sent in an HTTP header. */
static bool is_visible(const struct settings_key *key, const char *value)
{
	size_t len = strlen(value);

	if ((int64_t)len < key->min || (int64_t)len > key->max)
		return false;
	for (; *value; value++)
		if (!g_ascii_isgraph(*value))
			return false;
	return true;
}

static bool parse_token(const struct settings_key *key, const char *value,
			void *field)
{
	if (!is_visible(key, value))
		return false;
	cs_copy(field, CS_NAME_MAX, value);
	return true;
}

/*
 * The field gets the digest of the secret, which is used as a key; the secret
 * itself is not kept.
 */
static bool parse_secret(const struct settings_key *key, const char *value,
			 void *field)
{
	if (!is_visible(key, value))
		return false;
	return !crypto_generichash(field, CS_DIGEST_LEN, (const uint8_t *)value,
				   strlen(value), NULL, 0);
}

static void describe_secret(const struct settings_key *key, GString *out)
{
	g_string_append_printf(out,
			       "%" PRId64 " to %" PRId64
			       " visible characters without spaces",
			       key->min, key->max);
}

/* Parses a decimal number into thousandths: "0.25" becomes 250. */
static bool parse_thousandths(const struct settings_key *key, const char *value,
			      void *field)
{
	char *end;
	double number = g_ascii_strtod(value, &end);

	if (end == value || *end || !(number * 1000 >= (double)key->min) ||
	    number * 1000 > (double)key->max)
		return false;
	*(int *)field = (int)(number * 1000 + 0.5);
	return true;
}

static void describe_thousandths(const struct settings_key *key, GString *out)
{
	g_string_append_printf(out, "a number from %.3f to %.3f",
			       (double)key->min / 1000,
			       (double)key->max / 1000);
}

const struct settings_type settings_thousandths = { parse_thousandths,
						    describe_thousandths,
						    false };
const struct settings_type settings_name = { parse_name, describe_name, false };
const struct settings_type settings_address = { parse_address, describe_address,
						false };
const struct settings_type settings_duration = { parse_duration,
						 describe_duration, false };
const struct settings_type settings_size = { parse_size, describe_size, false };
const struct settings_type settings_count = { parse_count, describe_count,
					      false };
const struct settings_type settings_log_level = { parse_log_level,
						  describe_log_level, false };
const struct settings_type settings_isolated = { parse_isolated,
						 describe_isolated, false };
const struct settings_type settings_switch = { parse_switch, describe_switch,
					       false };
const struct settings_type settings_token = { parse_token, describe_secret,
					      true };
const struct settings_type settings_secret = { parse_secret, describe_secret,
					       true };
