#include <inttypes.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#include "../base/task.h"
#include "../config/codec.h"
#include "../team/team.h"
#include "ctl.h"
#include "ctl_run.h"

/* Bytes of a random key, which is printed in hexadecimal. */
#define KEY_LEN 32

/*
 * Minimum interval between two polls of a revision. It limits the rate when
 * an entry answers at once instead of holding the call.
 */
#define POLL_INTERVAL_USEC 250000

/* Longest time of one poll, so that progress is updated meanwhile. */
#define POLL_TIMEOUT_S 5

/* Maps the HTTP status of a refused change to an exit code. */
static int refusal_exit_code(int status)
{
	return status == 409 ? CTL_EXIT_CONFLICT : CTL_EXIT_REFUSED;
}

/* Counts the data centres where the revision is in force. */
static void count_in_force(const json_t *data_centres, size_t *in, size_t *all)
{
	size_t i;

	*in = 0;
	*all = json_array_size(data_centres);
	for (i = 0; i < *all; i++)
		*in += json_is_true(json_object_get(
			json_array_get(data_centres, i), "in_force"));
}

/* Rewrites one line of progress. Prints nothing unless err is a terminal. */
static void show_progress(struct ctl *ctl, uint64_t revision,
			  const json_t *response)
{
	size_t in, all;

	if (ctl->request->as_json || !isatty(fileno(ctl->err)))
		return;
	count_in_force(json_object_get(response, "data_centres"), &in, &all);
	fprintf(ctl->err,
		"\rrevision %" PRIu64 ": in force in %zu of %zu data centres",
		revision, in, all);
	fflush(ctl->err);
}

static void end_progress(struct ctl *ctl)
{
	if (!ctl->request->as_json && isatty(fileno(ctl->err)))
		fputc('\n', ctl->err);
}

/*
 * Polls until the revision is in force everywhere or the timeout expires.
 * Failed calls are retried, since the entry may be restarting. Stores the last
 * response in *last; the caller releases it.
 */
static int poll_in_force(struct ctl *ctl, uint64_t revision, json_t **last)
{
	cs_time end = task_now() + ctl->request->timeout_s * CS_SEC;
	int status = 0, result = CTL_EXIT_UNREACHABLE;
	cs_time began, left;
	json_t *response;
	char path[64];

	*last = NULL;
	g_snprintf(path, sizeof(path), "/v1/wait?revision=%" PRIu64, revision);
	ctl->is_quiet = true;
	do {
		began = task_now();
		left = MIN((end - began) / CS_SEC + 1, POLL_TIMEOUT_S);
		if (!ctl_call_entry(ctl, "GET", path, NULL, (int)left, &status,
				    &response) &&
		    response && status < 500) {
			json_decref(*last);
			*last = response;
			if (status >= 400)
				return CTL_EXIT_REFUSED;
			show_progress(ctl, revision, response);
			if (json_is_true(json_object_get(response, "in_force")))
				return CTL_EXIT_OK;
			result = CTL_EXIT_NOT_IN_FORCE;
		} else {
			json_decref(response);
		}
		left = POLL_INTERVAL_USEC - (task_now() - began);
		if (left > 0)
			g_usleep((gulong)left);
	} while (task_now() < end);
	return result;
}

/* Waits for the revision and reports where it is not in force. */
static int wait_and_report(struct ctl *ctl, uint64_t revision, json_t *result)
{
	json_t *response;
	int code = poll_in_force(ctl, revision, &response);

	end_progress(ctl);
	if (ctl->request->as_json) {
		json_object_set_new(result, "in_force",
				    json_boolean(code == CTL_EXIT_OK));
		if (json_is_object(response))
			json_object_update_missing(result, response);
	} else if (code == CTL_EXIT_OK) {
		fprintf(ctl->out, "revision %" PRIu64 " is in force\n",
			revision);
	} else if (code == CTL_EXIT_UNREACHABLE) {
		fprintf(ctl->err, "wait: %s: no answer within %d s\n",
			ctl->request->entry, ctl->request->timeout_s);
	} else {
		fprintf(ctl->out,
			"revision %" PRIu64 " is not in force everywhere\n",
			revision);
		if (json_is_array(json_object_get(response, "data_centres")))
			ctl_print(ctl,
				  json_object_get(response, "data_centres"));
	}
	json_decref(response);
	return code;
}

int ctl_run_wait(struct ctl *ctl)
{
	uint64_t revision = ctl->request->revision;
	json_t *result = json_object();
	int code;

	json_object_set_new(result, "revision",
			    json_integer((json_int_t)revision));
	code = wait_and_report(ctl, revision, result);
	if (ctl->request->as_json)
		ctl_print(ctl, result);
	json_decref(result);
	return code;
}

/* Returns a copy of the text that the entry sent about the change. */
static char *copy_detail(const json_t *json)
{
	const json_t *text = json_object_get(json, "detail");

	if (!text)
		text = json_object_get(json, "error");
	return g_strchomp(
		g_strdup(json_is_string(text) ? json_string_value(text) : ""));
}

int ctl_finish_change(struct ctl *ctl, int status, json_t *json,
		      const char *key)
{
	const struct ctl_request *rq = ctl->request;
	char *detail = copy_detail(json);
	uint64_t revision =
		(uint64_t)json_integer_value(json_object_get(json, "revision"));
	bool is_accepted = status < 400 &&
			   json_is_true(json_object_get(json, "accepted"));
	json_t *result = json_is_object(json) ? json_incref(json) :
						json_object();
	int code = CTL_EXIT_OK;

	if (!is_accepted) {
		fprintf(ctl->err, "not accepted: %s: status %d%s%s\n",
			rq->entry, status, *detail ? ": " : "", detail);
		code = refusal_exit_code(status);
	} else if (!rq->as_json) {
		fprintf(ctl->out, "%s as revision %" PRIu64 "%s%s\n",
			rq->is_dry_run ? "would be accepted" : "accepted",
			revision, *detail ? ": " : "", detail);
	}
	if (is_accepted && !rq->is_dry_run) {
		if (key && rq->as_json)
			json_object_set_new(result, "key", json_string(key));
		else if (key)
			fprintf(ctl->out, "key: %s\n", key);
		fflush(ctl->out);
		if (!rq->is_no_wait && wait_and_report(ctl, revision, result))
			code = CTL_EXIT_NOT_IN_FORCE;
	}
	if (rq->as_json)
		ctl_print(ctl, result);
	g_free(detail);
	json_decref(result);
	json_decref(json);
	return code;
}

/* Sends a change, prints the response and waits for it to be in force. */
static int send_change(struct ctl *ctl, const struct change *change,
		       const char *key)
{
	const struct ctl_request *rq = ctl->request;
	GString *path = g_string_new("/v1/changes");
	GBytes *body = changes_encode_json(change, 1);
	int status, code;
	json_t *json;

	if (rq->expected)
		g_string_append_printf(path, "?expected=%" PRId64,
				       rq->expected);
	if (rq->is_dry_run)
		g_string_append_printf(path, "%sdry_run=1",
				       rq->expected ? "&" : "?");
	code = ctl_call_entry(ctl, "POST", path->str, body, CTL_CALL_TIMEOUT_S,
			      &status, &json);
	if (!code)
		code = ctl_finish_change(ctl, status, json, key);
	g_bytes_unref(body);
	g_string_free(path, TRUE);
	return code;
}

int ctl_run_change(struct ctl *ctl)
{
	return send_change(ctl, &ctl->request->change, NULL);
}

/* Reads the key file, or generates a random key. Returns NULL on error. */
static char *get_key(struct ctl *ctl)
{
	uint8_t bytes[KEY_LEN];
	GError *error = NULL;
	char *key;

	if (ctl->request->key_file) {
		if (!g_file_get_contents(ctl->request->key_file, &key, NULL,
					 &error)) {
			fprintf(ctl->err, "key file: %s\n", error->message);
			g_error_free(error);
			return NULL;
		}
		if (*g_strstrip(key))
			return key;
		fputs("key file: the key is empty\n", ctl->err);
		g_free(key);
		return NULL;
	}
	if (sodium_init() < 0) {
		fputs("cannot initialize libsodium\n", ctl->err);
		return NULL;
	}
	key = g_malloc(2 * KEY_LEN + 1);
	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(key, 2 * KEY_LEN + 1, bytes, sizeof(bytes));
	sodium_memzero(bytes, sizeof(bytes));
	return key;
}

/* The entry only gets the digest. A key from a file is not printed. */
int ctl_run_key_grant(struct ctl *ctl)
{
	struct change change = ctl->request->change;
	char *key = get_key(ctl);
	int code;

	if (!key)
		return CTL_EXIT_USAGE;
	team_key_digest(key, strlen(key), change.digest);
	change.has_digest = true;
	code = send_change(ctl, &change, ctl->request->key_file ? NULL : key);
	sodium_memzero(key, strlen(key));
	g_free(key);
	return code;
}
