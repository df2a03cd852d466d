#ifndef CTL_RUN_H
#define CTL_RUN_H

#include <jansson.h>
#include <stdio.h>

#include "ctl_args.h"
#include "ctl_http.h"

/* State of one invocation of ctl. */
struct ctl {
	const struct ctl_request *request;
	char *token; /* NULL: none */
	FILE *out; /* results */
	FILE *err; /* errors and progress */
	bool is_quiet; /* failed calls are retried and not reported */
};

/* Executes the request. Returns an exit code, enum ctl_exit. */
int ctl_run(const struct ctl_request *request, FILE *out, FILE *err);

/* Actions that are implemented in other files than ctl_run.c. */
int ctl_run_change(struct ctl *ctl);
int ctl_run_key_grant(struct ctl *ctl);
int ctl_run_wait(struct ctl *ctl);
int ctl_run_document_get(struct ctl *ctl);
int ctl_run_document_check(struct ctl *ctl);
int ctl_run_document_apply(struct ctl *ctl);
int ctl_run_document_diff(struct ctl *ctl);

/*
 * Calls the entry. Returns CTL_EXIT_OK for any response, with its HTTP status
 * and its JSON, or NULL if the body is not JSON; else prints an error and
 * returns an exit code. The caller releases *json.
 */
int ctl_call_entry(struct ctl *ctl, const char *method, const char *path,
		   GBytes *body, int timeout_s, int *status, json_t **json);

/* Sends a GET request and requires a JSON response with status 200. */
int ctl_get(struct ctl *ctl, const char *path, json_t **json);

/* Prints a value as JSON with --json, else as tables. */
void ctl_print(struct ctl *ctl, const json_t *json);

/*
 * Prints the response to a change and waits until the change is in force
 * everywhere, except with --no-wait or --dry-run. Prints key, if it is not
 * NULL, once the change is accepted. Takes ownership of json.
 */
int ctl_finish_change(struct ctl *ctl, int status, json_t *json,
		      const char *key);

/* Timeout of all calls except those that wait for a revision. */
#define CTL_CALL_TIMEOUT_S 10

#endif
