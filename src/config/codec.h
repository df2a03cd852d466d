#ifndef CONFIG_CODEC_H
#define CONFIG_CODEC_H

#include "document.h"

/*
 * Encodings of the fleet document. decode() appends one line per fault to
 * faults and returns NULL if there is any. Each line begins with source, the
 * name of the input such as a file or a peer. The caller releases what decode()
 * and encode() return.
 */
struct document_codec {
	const char *name;
	struct document *(*decode)(GBytes *bytes, const char *source,
				   GString *faults);
	GBytes *(*encode)(const struct document *doc);
};

/* The JSON form that is stored at the platform. */
extern const struct document_codec document_codec_json;

/* The INI form that operators write. */
extern const struct document_codec document_codec_ini;

/*
 * A list of changes as JSON: [{"op":"team-set","name":...}, ...]. Used between
 * the operators' command line and the admin task. changes_decode_json()
 * returns CS_OK and an array to be freed with g_free(), or CS_ERR_INVALID with
 * err filled.
 */
int changes_decode_json(GBytes *bytes, struct change **changes, size_t *nr,
			struct cs_error *err);
GBytes *changes_encode_json(const struct change *changes, size_t nr);

/* The name of an operation, such as "team-set"; "invalid" if unknown. */
const char *change_op_name(enum change_op op);

#endif
