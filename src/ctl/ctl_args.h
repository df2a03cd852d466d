#ifndef CTL_ARGS_H
#define CTL_ARGS_H

#include <glib.h>

#include "../config/change.h"

/* Parsing of the command line. Nothing is printed or sent here. */
enum ctl_action {
	CTL_STATUS,
	CTL_PLAN,
	CTL_HISTORY,
	CTL_CHANGE, /* the request holds the whole change */
	CTL_KEY_GRANT, /* as CTL_CHANGE, but without the digest of the key */
	CTL_DOCUMENT_GET,
	CTL_DOCUMENT_CHECK,
	CTL_DOCUMENT_APPLY,
	CTL_DOCUMENT_DIFF,
	CTL_WAIT,
	CTL_HELP,
	CTL_ACTION_NR
};

struct ctl_request {
	gchar *entry; /* address of the admin port */
	gchar *token_file; /* NULL: no token */
	gboolean as_json;
	gboolean is_dry_run;
	gboolean is_no_wait;
	gint timeout_s; /* until a change is in force everywhere */
	gint64 expected; /* current revision that a change requires, 0: any */
	enum ctl_action action;
	struct change change;
	gchar *key_file; /* for key grant; NULL: generate a random key */
	gchar *file; /* for document check, document apply and diff */
	uint64_t revision; /* for wait */
};

/*
 * Parses a command line; argv[0] is ignored. Returns CS_OK, or CS_ERR_INVALID
 * with one line appended to message. The caller releases the request with
 * ctl_request_clear() in both cases.
 */
int ctl_parse(int argc, char **argv, struct ctl_request *request,
	      GString *message);
void ctl_request_clear(struct ctl_request *request);

/* Appends the usage text: options, verbs and exit codes. */
void ctl_append_usage(GString *out);

#endif
