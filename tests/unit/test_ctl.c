#include "unit.h"

#include <string.h>

#include "../../src/ctl/ctl_args.h"
#include "../../src/ctl/ctl_table.h"

#define COMMON "--entry 127.0.0.1:1 --token-file t "

/* Parses a command line; the words are split at spaces. */
static int parse(const char *line, struct ctl_request *rq, GString *message)
{
	char **argv = g_strsplit(line, " ", -1);
	int code;

	g_string_truncate(message, 0);
	code = ctl_parse((int)g_strv_length(argv), argv, rq, message);
	g_strfreev(argv);
	return code;
}

struct valid_case {
	const char *line; /* after the common options */
	enum ctl_action action;
	struct change change;
};

static const struct valid_case valid_cases[] = {
	{ "status", CTL_STATUS, { .op = CHANGE_OP_NR } },
	{ "team set a --share 3 --limit 0",
	  CTL_CHANGE,
	  { .op = CHANGE_TEAM_SET, .name = "a", .share = 3 } },
	{ "team set --share 3 a --limit 9",
	  CTL_CHANGE,
	  { .op = CHANGE_TEAM_SET, .name = "a", .share = 3, .limit = 9 } },
	{ "team remove a",
	  CTL_CHANGE,
	  { .op = CHANGE_TEAM_REMOVE, .name = "a" } },
	{ "key grant a --label l --key-file f",
	  CTL_KEY_GRANT,
	  { .op = CHANGE_KEY_GRANT, .name = "a", .label = "l" } },
	{ "key withdraw a --label l",
	  CTL_CHANGE,
	  { .op = CHANGE_KEY_WITHDRAW, .name = "a", .label = "l" } },
	{ "pool set p --spare",
	  CTL_CHANGE,
	  { .op = CHANGE_POOL_SET,
	    .name = "p",
	    .is_spare = true,
	    .budget_percent = 10 } },
	{ "pool set p --budget-percent 0",
	  CTL_CHANGE,
	  { .op = CHANGE_POOL_SET, .name = "p" } },
	{ "queue set q --pool p --open --team t",
	  CTL_CHANGE,
	  { .op = CHANGE_QUEUE_SET,
	    .name = "q",
	    .pool = "p",
	    .team = "t",
	    .is_open = true } },
	{ "host set h --rack r --data-centre d --pool p",
	  CTL_CHANGE,
	  { .op = CHANGE_HOST_SET,
	    .name = "h",
	    .rack = "r",
	    .data_centre = "d",
	    .pool = "p" } },
	{ "host drain h",
	  CTL_CHANGE,
	  { .op = CHANGE_HOST_DRAIN, .name = "h" } },
	{ "host return h",
	  CTL_CHANGE,
	  { .op = CHANGE_HOST_RETURN, .name = "h" } },
	{ "host move h --pool p",
	  CTL_CHANGE,
	  { .op = CHANGE_HOST_MOVE, .name = "h", .pool = "p" } },
	{ "worker set w --host h --address 10.0.0.1:9 --slots 8",
	  CTL_CHANGE,
	  { .op = CHANGE_WORKER_SET,
	    .name = "w",
	    .host = "h",
	    .address = "10.0.0.1:9",
	    .slots = 8 } },
	{ "data-centre out d",
	  CTL_CHANGE,
	  { .op = CHANGE_DATA_CENTRE_OUT, .name = "d" } },
	{ "data-centre in d",
	  CTL_CHANGE,
	  { .op = CHANGE_DATA_CENTRE_IN, .name = "d" } },
	{ "preset peak", CTL_CHANGE, { .op = CHANGE_PRESET, .name = "peak" } },
	{ "document get", CTL_DOCUMENT_GET, { .op = CHANGE_OP_NR } },
	{ "document check f", CTL_DOCUMENT_CHECK, { .op = CHANGE_OP_NR } },
	{ "document apply f", CTL_DOCUMENT_APPLY, { .op = CHANGE_OP_NR } },
	{ "plan", CTL_PLAN, { .op = CHANGE_OP_NR } },
	{ "history", CTL_HISTORY, { .op = CHANGE_OP_NR } },
	{ "diff f", CTL_DOCUMENT_DIFF, { .op = CHANGE_OP_NR } },
	{ "wait 12", CTL_WAIT, { .op = CHANGE_OP_NR } },
	{ "help", CTL_HELP, { .op = CHANGE_OP_NR } },
};

/* An option stored in the wrong field would make a different change. */
static void every_verb_is_parsed(void **state)
{
	GString *message = g_string_new(NULL);
	struct ctl_request rq;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(valid_cases); i++) {
		char *line =
			g_strconcat("ctl " COMMON, valid_cases[i].line, NULL);

		if (parse(line, &rq, message))
			fail_msg("%s: %s", line, message->str);
		assert_int_equal(rq.action, valid_cases[i].action);
		assert_memory_equal(&rq.change, &valid_cases[i].change,
				    sizeof(rq.change));
		assert_string_equal(rq.entry, "127.0.0.1:1");
		assert_int_equal(rq.timeout_s, 10);
		ctl_request_clear(&rq);
		g_free(line);
	}
	assert_int_equal(parse("ctl --json " COMMON "--dry-run wait 12 "
			       "--no-wait --timeout 3 --expected 7",
			       &rq, message),
			 CS_OK);
	assert_true(rq.as_json && rq.is_dry_run && rq.is_no_wait);
	assert_int_equal(rq.timeout_s, 3);
	assert_int_equal(rq.expected, 7);
	assert_int_equal(rq.revision, 12);
	ctl_request_clear(&rq);
	assert_int_equal(parse("ctl " COMMON "key grant a --label l --key-file "
			       "f",
			       &rq, message),
			 CS_OK);
	assert_string_equal(rq.key_file, "f");
	ctl_request_clear(&rq);
	g_string_free(message, TRUE);
}

static const struct invalid_case {
	const char *line;
	const char *message; /* text that the error message must contain */
} invalid_cases[] = {
	{ "ctl", "missing verb" },
	{ "ctl status", "--entry is missing" },
	{ "ctl --entry localhost:1 status", "numeric IP address" },
	{ "ctl --entry 127.0.0.1:1 preset peak", "--token-file is missing" },
	{ "ctl " COMMON "teem set a", "unknown verb \"teem set\"" },
	{ "ctl " COMMON "team", "unknown verb \"team\"" },
	{ "ctl " COMMON "team set --share 1 --limit 1", "expected NAME" },
	{ "ctl " COMMON "team set a b --share 1 --limit 1", "got 2" },
	{ "ctl " COMMON "team set a --share 1", "--limit is missing" },
	{ "ctl " COMMON "team set a --share 0 --limit 1", "from 1 to 1000" },
	{ "ctl " COMMON "team set a --share x --limit 1", "x" },
	{ "ctl " COMMON "team set a/b --share 1 --limit 1", "letters" },
	{ "ctl " COMMON "team remove a --share 1", "--share" },
	{ "ctl " COMMON "key grant a", "--label is missing" },
	{ "ctl " COMMON "queue set q --pool p --open", "go together" },
	{ "ctl " COMMON "queue set q --pool p --team t", "go together" },
	{ "ctl " COMMON "worker set w --host h --address x --slots 1",
	  "numeric IP address" },
	{ "ctl " COMMON "wait 0", "from 1" },
	{ "ctl " COMMON "wait -1", "-1" },
	{ "ctl " COMMON "--timeout 0 status", "--timeout" },
	{ "ctl " COMMON "--bogus status", "bogus" },
	{ "ctl " COMMON "status extra", "got 1 arguments, expected none" },
};

/* An invalid command line must fail with a message that names the mistake. */
static void invalid_usage_is_rejected(void **state)
{
	GString *message = g_string_new(NULL);
	struct ctl_request rq;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(invalid_cases); i++) {
		assert_int_equal(parse(invalid_cases[i].line, &rq, message),
				 CS_ERR_INVALID);
		ctl_request_clear(&rq);
		if (!strstr(message->str, invalid_cases[i].message))
			fail_msg("%s: %s", invalid_cases[i].line, message->str);
	}
	g_string_free(message, TRUE);
}

/* The output must not depend on the order of keys and rows in the response. */
static void tables_are_stable(void **state)
{
	static const char *const texts[] = {
		"{\"teams\":[{\"name\":\"b\",\"share\":10},"
		"{\"limit\":5,\"name\":\"a\"}],"
		"\"revision\":7,\"ready\":true,\"a\":{\"x\":null},"
		"\"none\":[]}",
		"{\"none\":[],\"a\":{\"x\":null},\"ready\":true,"
		"\"revision\":7,\"teams\":[{\"name\":\"a\",\"limit\":5},"
		"{\"share\":10,\"name\":\"b\"}]}",
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		GString *out = g_string_new(NULL);
		json_t *json = json_loads(texts[i], 0, NULL);

		assert_non_null(json);
		ctl_table_append(out, json);
		assert_string_equal(out->str, "none      []\n"
					      "ready     yes\n"
					      "revision  7\n"
					      "\n"
					      "a:\n"
					      "x  -\n"
					      "\n"
					      "teams:\n"
					      "NAME  LIMIT  SHARE\n"
					      "a     5      -\n"
					      "b     -      10\n");
		json_decref(json);
		g_string_free(out, TRUE);
	}
}

/* Escape sequences in a name must not reach the operator's terminal. */
static void control_characters_are_replaced(void **state)
{
	GString *out = g_string_new(NULL);
	json_t *json = json_loads("[{\"name\":\"a\\u001b[2J\\n\"}]", 0, NULL);

	(void)state;
	ctl_table_append(out, json);
	assert_string_equal(out->str, "NAME\na?[2J?\n");
	json_decref(json);
	g_string_free(out, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_verb_is_parsed),
		cmocka_unit_test(invalid_usage_is_rejected),
		cmocka_unit_test(tables_are_stable),
		cmocka_unit_test(control_characters_are_replaced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
