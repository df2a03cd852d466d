#ifndef CONFIG_CODEC_H
#define CONFIG_CODEC_H

#include "document.h"

/*
 * Encodings of the fleet document. A decoder lists every fault, one a line,
 * in faults, and returns NULL if there is any. source names the input in
 * those lines ("platform config/fleet" or a file).
 */
struct document_codec {
	const char *name;
	struct document *(*decode)(GBytes *bytes, const char *source,
				   GString *faults);
	GBytes *(*encode)(const struct document *doc);
};

/* The JSON form that the platform's service holds. */
extern const struct document_codec document_codec_json;

/* The INI form that operators write. */
extern const struct document_codec document_codec_ini;

/*
 * A change list as JSON: [{"op":"team-set","name":...}, ...]. Used between
 * the operators' command line and the admin task. Decode returns CS_OK and an
 * array to be released with g_free(), or CS_ERR_INVALID with err filled.
 */
int changes_decode_json(GBytes *bytes, struct change **changes, size_t *nr,
			struct cs_error *err);
GBytes *changes_encode_json(const struct change *changes, size_t nr);

/* "team-set" and so on; "invalid" for an unknown operation. */
const char *change_op_name(enum change_op op);

#endif
