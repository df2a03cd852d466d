#include "check_config.h"

#include <stdio.h>

#include "../config/codec.h"
#include "settings.h"

/* Exit codes, see docs/operators.md. */
enum check_exit_code { CHECK_OK = 0, CHECK_FAULTS = 2 };

static void check_settings(const char *path, GString *faults)
{
	settings_destroy(settings_read(path, faults));
}

/* Decodes the document only to list its faults. */
static void check_fleet_document(const char *path, GString *faults)
{
	GError *error = NULL;
	GBytes *bytes;
	gchar *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		g_string_append_printf(faults, "%s:0: file: %s\n", path,
				       error->message);
		g_error_free(error);
		return;
	}
	bytes = g_bytes_new_take(text, len);
	document_destroy(document_codec_ini.decode(bytes, path, faults));
	g_bytes_unref(bytes);
}

/* The kinds of files by the suffix of their names; the first match counts. */
static const struct file_kind {
	const char *suffix;
	void (*check)(const char *path, GString *faults);
} file_kinds[] = {
	{ ".fleet.ini", check_fleet_document },
	{ "", check_settings },
};

/* Prints the faults of one file. Returns the exit code. */
static int check_file(FILE *out, const char *path)
{
	GString *faults = g_string_new(NULL);
	const struct file_kind *kind = file_kinds;
	int code;

	while (!g_str_has_suffix(path, kind->suffix))
		kind++;
	kind->check(path, faults);
	code = faults->len ? CHECK_FAULTS : CHECK_OK;
	if (faults->len)
		fputs(faults->str, out);
	else
		fprintf(out, "%s: no faults\n", path);
	g_string_free(faults, TRUE);
	return code;
}

int check_config_main(int argc, char **argv)
{
	/* An argument that looks like an option is a mistake, not a file. */
	if (argc != 2 || argv[1][0] == '-') {
		fputs("usage: camphorshed check-config FILE\n", stderr);
		return CHECK_FAULTS;
	}
	return check_file(stdout, argv[1]);
}
