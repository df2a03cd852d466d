#ifndef CTL_RUN_H
#define CTL_RUN_H

#include <jansson.h>
#include <stdio.h>

#include "ctl_args.h"
#include "ctl_http.h"

/* One run of the command line: the request and where its output goes. */
struct ctl {
	const struct ctl_request *request;
	char *token; /* NULL: none */
	FILE *out; /* results */
	FILE *err; /* faults and progress */
	bool is_quiet; /* calls that fail are tried again, not shown */
};

/* Does what the request asks for. Returns an exit code, enum ctl_exit. */
int ctl_run(const struct ctl_request *request, FILE *out, FILE *err);

/* The functions of the actions, each in its file. */
int ctl_run_change(struct ctl *ctl);
int ctl_run_key_grant(struct ctl *ctl);
int ctl_run_wait(struct ctl *ctl);
int ctl_run_document_get(struct ctl *ctl);
int ctl_run_document_check(struct ctl *ctl);
int ctl_run_document_apply(struct ctl *ctl);
int ctl_run_document_diff(struct ctl *ctl);

/*
 * Calls the entry. CTL_EXIT_OK with the JSON of any answer in *json (NULL if
 * the answer is none) and its status, else an exit code after the fault was
 * printed. The caller releases *json.
 */
int ctl_call(struct ctl *ctl, const char *method, const char *path,
	     GBytes *body, int timeout_s, int *status, json_t **json);

/* The same for a GET that must be answered with 200. */
int ctl_get(struct ctl *ctl, const char *path, json_t **json);

/* Prints JSON as it is, or as tables. */
void ctl_print(struct ctl *ctl, const json_t *json);

/*
 * Prints what became of a change and waits until it is in force everywhere,
 * unless the request says otherwise. key is shown once if it was accepted;
 * NULL: none. Takes json.
 */
int ctl_finish_change(struct ctl *ctl, int status, json_t *json,
		      const char *key);

/* Seconds that a call other than a wait may take. */
#define CTL_CALL_TIMEOUT_S 10

#endif
