#ifndef CTL_ARGS_H
#define CTL_ARGS_H

#include <glib.h>

#include "../config/change.h"

/* What the command line asks for. Nothing is printed or sent here. */
enum ctl_action {
	CTL_STATUS,
	CTL_PLAN,
	CTL_HISTORY,
	CTL_CHANGE, /* one change, complete in change */
	CTL_KEY_GRANT, /* change still lacks the digest */
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
	gint timeout_s; /* for a change to be in force everywhere */
	gint64 expected; /* revision the change is meant for, 0: any */
	enum ctl_action action;
	struct change change;
	gchar *key_file; /* key grant; NULL: make a random key */
	gchar *file; /* document verbs */
	uint64_t revision; /* wait */
};

/*
 * Reads a command line; argv[0] is passed over. CS_OK, or CS_ERR_INVALID
 * with one line appended to fault. Either way the request must be cleared.
 */
int ctl_parse(int argc, char **argv, struct ctl_request *request,
	      GString *fault);
void ctl_request_clear(struct ctl_request *request);

/* Appends the list of options and verbs. */
void ctl_usage(GString *out);

#endif
