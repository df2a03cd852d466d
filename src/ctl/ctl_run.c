#include "ctl_run.h"

#include <sodium.h>
#include <string.h>

#include "ctl.h"
#include "ctl_table.h"

/* Reads the token file and strips white space. Reports errors. */
static bool read_token(struct ctl *ctl)
{
	GError *error = NULL;

	if (!ctl->request->token_file)
		return true;
	if (!g_file_get_contents(ctl->request->token_file, &ctl->token, NULL,
				 &error)) {
		fprintf(ctl->err, "token file: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	g_strstrip(ctl->token);
	return true;
}

int ctl_call_entry(struct ctl *ctl, const char *method, const char *path,
		   GBytes *body, int timeout_s, int *status, json_t **json)
{
	struct ctl_call call = { .address = ctl->request->entry,
				 .token = ctl->token,
				 .method = method,
				 .path = path,
				 .body = body,
				 .timeout_s = timeout_s };
	struct ctl_response response;
	struct cs_error err = { 0 };
	gsize len;
	const char *text;

	*json = NULL;
	if (ctl_http_call(&call, &response, &err)) {
		if (!ctl->is_quiet)
			fprintf(ctl->err, "%s: %s: %s\n", err.step, err.peer,
				err.message);
		if (response.is_sent && body)
			fputs("the change may have been accepted; see "
			      "\"ctl history\"\n",
			      ctl->err);
		return CTL_EXIT_UNREACHABLE;
	}
	*status = response.status;
	text = g_bytes_get_data(response.body, &len);
	*json = json_loadb(text ? text : "", len, JSON_DECODE_ANY, NULL);
	g_bytes_unref(response.body);
	return CTL_EXIT_OK;
}

int ctl_get(struct ctl *ctl, const char *path, json_t **json)
{
	const char *reason;
	int status, code;

	code = ctl_call_entry(ctl, "GET", path, NULL, CTL_CALL_TIMEOUT_S,
			      &status, json);
	if (code)
		return code;
	if (status == 200 && *json)
		return CTL_EXIT_OK;
	reason = json_string_value(json_object_get(*json, "error"));
	fprintf(ctl->err, "%s: %s: status %d: %s\n", path, ctl->request->entry,
		status,
		reason ? reason :
		*json  ? "no reason" :
			 "no JSON");
	json_decref(*json);
	*json = NULL;
	return status == 200 ? CTL_EXIT_UNREACHABLE : CTL_EXIT_REFUSED;
}

void ctl_print(struct ctl *ctl, const json_t *json)
{
	GString *text;

	if (ctl->request->as_json) {
		json_dumpf(json, ctl->out,
			   JSON_INDENT(2) | JSON_SORT_KEYS | JSON_ENCODE_ANY);
		fputc('\n', ctl->out);
		return;
	}
	text = g_string_new(NULL);
	ctl_table_append(text, json);
	fputs(text->str, ctl->out);
	g_string_free(text, TRUE);
}

static int print_resource(struct ctl *ctl, const char *path)
{
	json_t *json;
	int code = ctl_get(ctl, path, &json);

	if (code)
		return code;
	ctl_print(ctl, json);
	json_decref(json);
	return CTL_EXIT_OK;
}

static int run_status(struct ctl *ctl)
{
	return print_resource(ctl, "/v1/status");
}

static int run_plan(struct ctl *ctl)
{
	return print_resource(ctl, "/v1/plan");
}

/*
 * Appends a change: its revision and age, then one line for each difference,
 * since replacing a whole document can produce hundreds of them.
 */
static void append_change(GString *text, const json_t *row)
{
	const json_t *diff = json_object_get(row, "diff");
	size_t i;

	g_string_append_printf(
		text,
		"revision %" JSON_INTEGER_FORMAT ", %" JSON_INTEGER_FORMAT
		" s ago, change ",
		json_integer_value(json_object_get(row, "revision")),
		json_integer_value(json_object_get(row, "age_ms")) / 1000);
	ctl_table_append(text, json_object_get(row, "change_id"));
	for (i = 0; i < json_array_size(diff); i++) {
		g_string_append(text, "    ");
		ctl_table_append(text, json_array_get(diff, i));
	}
}

static int run_history(struct ctl *ctl)
{
	GString *text;
	json_t *json;
	size_t i;
	int code = ctl_get(ctl, "/v1/history", &json);

	if (code)
		return code;
	if (ctl->request->as_json) {
		ctl_print(ctl, json);
	} else {
		text = g_string_new(NULL);
		for (i = 0; i < json_array_size(json); i++)
			append_change(text, json_array_get(json, i));
		fputs(text->str, ctl->out);
		g_string_free(text, TRUE);
	}
	json_decref(json);
	return CTL_EXIT_OK;
}

static int run_help(struct ctl *ctl)
{
	ctl_help(ctl->out);
	return CTL_EXIT_OK;
}

static int (*const actions[CTL_ACTION_NR])(struct ctl *ctl) = {
	[CTL_STATUS] = run_status,
	[CTL_PLAN] = run_plan,
	[CTL_HISTORY] = run_history,
	[CTL_CHANGE] = ctl_run_change,
	[CTL_KEY_GRANT] = ctl_run_key_grant,
	[CTL_DOCUMENT_GET] = ctl_run_document_get,
	[CTL_DOCUMENT_CHECK] = ctl_run_document_check,
	[CTL_DOCUMENT_APPLY] = ctl_run_document_apply,
	[CTL_DOCUMENT_DIFF] = ctl_run_document_diff,
	[CTL_WAIT] = ctl_run_wait,
	[CTL_HELP] = run_help,
};

int ctl_run(const struct ctl_request *request, FILE *out, FILE *err)
{
	struct ctl ctl = { .request = request, .out = out, .err = err };
	int code = CTL_EXIT_USAGE;

	if (read_token(&ctl))
		code = actions[request->action](&ctl);
	if (ctl.token)
		sodium_memzero(ctl.token, strlen(ctl.token));
	g_free(ctl.token);
	return code;
}
