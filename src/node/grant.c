#include "node_private.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/*
 * Stored grants: which servers may have got orders of an owner. The key ends
 * with the identifier of the server, and the value is the pool. An identifier
 * may be as long as the store's keys allow for the server's own record, so that
 * it does not fit into the longer key of a grant; that key then ends with its
 * hash, and the identifier follows the pool in the value.
 */

/* Marks a key that ends with a hash. No identifier is stored after it. */
#define HASH_MARK '~'

static bool is_hashed(const char *id)
{
	return *id == HASH_MARK ||
	       strlen(KEY_GRANTS) + strlen(id) >= STORE_KEY_MAX;
}

char *grant_key(const char *id)
{
	XXH128_hash_t hash;

	if (!is_hashed(id))
		return g_strconcat(KEY_GRANTS, id, NULL);
	hash = XXH3_128bits(id, strlen(id));
	return g_strdup_printf(KEY_GRANTS "%c%016" PRIx64 "%016" PRIx64,
			       HASH_MARK, (uint64_t)hash.high64,
			       (uint64_t)hash.low64);
}

GBytes *grant_value(const struct server_info *info)
{
	GByteArray *value = g_byte_array_new();

	g_byte_array_append(value, (const guint8 *)info->pool,
			    (guint)strlen(info->pool));
	if (is_hashed(info->id)) {
		g_byte_array_append(value, (const guint8 *)"", 1);
		g_byte_array_append(value, (const guint8 *)info->id,
				    (guint)strlen(info->id));
	}
	return g_byte_array_free_to_bytes(value);
}

char *grant_read(const struct store_item *item, char **id)
{
	gsize size;
	const char *data = g_bytes_get_data(item->value, &size);
	const char *end = size ? memchr(data, '\0', size) : NULL;

	if (!end) {
		*id = g_strdup(item->key + strlen(KEY_GRANTS));
		return g_strndup(data, size);
	}
	*id = g_strndup(end + 1, size - (gsize)(end + 1 - data));
	return g_strndup(data, (gsize)(end - data));
}
