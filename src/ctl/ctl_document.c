#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "../config/codec.h"
#include "ctl.h"
#include "ctl_run.h"

static const struct document_codec *codec_of(const char *path)
{
	return g_str_has_suffix(path, ".json") ? &document_codec_json :
						 &document_codec_ini;
}

/*
 * Reads a document: JSON if the name ends in ".json", else INI. Prints all
 * faults. Returns NULL on error, with the exit code in *code.
 */
static struct document *read_file(struct ctl *ctl, const char *path, int *code)
{
	GString *faults = g_string_new(NULL);
	struct document *doc = NULL;
	GError *error = NULL;
	GBytes *bytes;
	gchar *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		g_string_append_printf(faults, "%s\n", error->message);
		g_error_free(error);
		*code = CTL_EXIT_USAGE;
	} else {
		bytes = g_bytes_new_take(text, len);
		doc = codec_of(path)->decode(bytes, path, faults);
		g_bytes_unref(bytes);
		*code = doc ? CTL_EXIT_OK : CTL_EXIT_REFUSED;
	}
	fputs(faults->str, ctl->err);
	g_string_free(faults, TRUE);
	return doc;
}

/* Fetches the document in force. Returns NULL on error, as read_file() does. */
static struct document *fetch_document(struct ctl *ctl, int *code)
{
	GString *faults;
	struct document *doc;
	GBytes *bytes;
	json_t *json;
	char *text;

	*code = ctl_get(ctl, "/v1/document", &json);
	if (*code)
		return NULL;
	text = json_dumps(json, JSON_ENCODE_ANY);
	json_decref(json);
	bytes = g_bytes_new_with_free_func(text, text ? strlen(text) : 0, free,
					   text);
	faults = g_string_new(NULL);
	doc = document_codec_json.decode(bytes, ctl->request->entry, faults);
	if (!doc)
		*code = CTL_EXIT_UNREACHABLE;
	fputs(faults->str, ctl->err);
	g_string_free(faults, TRUE);
	g_bytes_unref(bytes);
	return doc;
}

/* Prints JSON with --json, else INI, which operators can edit and apply. */
int ctl_run_document_get(struct ctl *ctl)
{
	struct document *doc;
	GBytes *bytes;
	json_t *json;
	int code;

	if (ctl->request->as_json) {
		code = ctl_get(ctl, "/v1/document", &json);
		if (!code)
			ctl_print(ctl, json);
		json_decref(json);
		return code;
	}
	doc = fetch_document(ctl, &code);
	if (!doc)
		return code;
	bytes = document_codec_ini.encode(doc);
	fwrite(g_bytes_get_data(bytes, NULL), 1, g_bytes_get_size(bytes),
	       ctl->out);
	g_bytes_unref(bytes);
	document_destroy(doc);
	return CTL_EXIT_OK;
}

int ctl_run_document_check(struct ctl *ctl)
{
	int code;
	struct document *doc = read_file(ctl, ctl->request->file, &code);

	if (doc)
		fprintf(ctl->out, "%s: no faults\n", ctl->request->file);
	document_destroy(doc);
	return code;
}

/* Prints the differences between the document in force and the file. */
int ctl_run_document_diff(struct ctl *ctl)
{
	struct document *current, *proposed;
	GString *text;
	int code;

	proposed = read_file(ctl, ctl->request->file, &code);
	if (!proposed)
		return code;
	current = fetch_document(ctl, &code);
	if (current) {
		text = g_string_new(NULL);
		document_diff(current, proposed, text);
		fputs(text->str, ctl->out);
		g_string_free(text, TRUE);
	}
	document_destroy(current);
	document_destroy(proposed);
	return code;
}

/*
 * Replaces the document in force. Unless --expected is given, the current
 * revision must be the one that the file was made from, so that a change made
 * in between is not reverted by accident.
 */
int ctl_run_document_apply(struct ctl *ctl)
{
	const struct ctl_request *rq = ctl->request;
	struct document *doc;
	uint64_t expected;
	char path[64] = "/v1/document";
	GBytes *body;
	int status, code;
	json_t *json;

	if (rq->is_dry_run)
		return ctl_run_document_diff(ctl);
	doc = read_file(ctl, rq->file, &code);
	if (!doc)
		return code;
	expected = rq->expected ? (uint64_t)rq->expected :
				  document_revision(doc);
	if (expected)
		g_snprintf(path, sizeof(path), "/v1/document?expected=%" PRIu64,
			   expected);
	body = document_codec_json.encode(doc);
	document_destroy(doc);
	code = ctl_call_entry(ctl, "PUT", path, body, CTL_CALL_TIMEOUT_S,
			      &status, &json);
	g_bytes_unref(body);
	return code ? code : ctl_finish_change(ctl, status, json, NULL);
}
