#include "contact.h"

#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "../base/error.h"

char *relay_contact_format(const struct relay_contact *c)
{
	char secret[2 * CS_DIGEST_LEN + 1];

	if (!*c->address)
		return g_strdup_printf("%s %" PRIu64, c->name, c->incarnation);
	sodium_bin2hex(secret, sizeof(secret), c->secret, sizeof(c->secret));
	return g_strdup_printf("%s %" PRIu64 " %s %s", c->name, c->incarnation,
			       c->address, secret);
}

static bool parse_words(char *const *words, guint n, struct relay_contact *c)
{
	size_t len;

	if (n != 2 && n != 4)
		return false;
	if (strlen(words[0]) >= sizeof(c->name) ||
	    !g_ascii_string_to_unsigned(words[1], 10, 0, UINT64_MAX,
					&c->incarnation, NULL))
		return false;
	cs_copy(c->name, sizeof(c->name), words[0]);
	if (n == 2)
		return true;
	if (strlen(words[2]) >= sizeof(c->address) ||
	    sodium_hex2bin(c->secret, sizeof(c->secret), words[3],
			   strlen(words[3]), NULL, &len, NULL) ||
	    len != sizeof(c->secret))
		return false;
	cs_copy(c->address, sizeof(c->address), words[2]);
	return true;
}

bool relay_contact_parse(const char *text, struct relay_contact *c)
{
	char **words = g_strsplit(text, " ", 5);
	bool is_valid;

	memset(c, 0, sizeof(*c));
	is_valid = parse_words(words, g_strv_length(words), c);
	g_strfreev(words);
	if (!is_valid)
		memset(c, 0, sizeof(*c));
	return is_valid;
}
