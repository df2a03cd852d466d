#include "unit.h"

#include <glib/gstdio.h>
#include <string.h>

#include "../../src/settings/settings.h"

#define SAMPLE "etc/entry.ini"

static char *path; /* of a temporary file with mode 0600 */

static int make_file(void **state)
{
	int fd;

	(void)state;
	path = g_strdup("/tmp/test_settings_XXXXXX");
	fd = g_mkstemp(path);
	return fd < 0 || !g_close(fd, NULL);
}

static int remove_file(void **state)
{
	(void)state;
	g_unlink(path);
	g_free(path);
	return 0;
}

static char *sample(void)
{
	char *text;

	assert_true(g_file_get_contents(SAMPLE, &text, NULL, NULL));
	return text;
}

/* Reads text as a settings file; "F" replaces the path in the faults. */
static struct settings *read_text(const char *text, GString *faults)
{
	struct settings *st;

	assert_true(g_file_set_contents_full(
		path, text, -1, G_FILE_SET_CONTENTS_CONSISTENT, 0600, NULL));
	st = settings_read(path, faults);
	g_string_replace(faults, path, "F", 0);
	return st;
}

/*
 * Guards against a sample file, from which operators start, that is invalid or
 * is read with other values than it states.
 */
static void sample_is_read(void **state)
{
	GString *faults = g_string_new(NULL);
	char *text = sample();
	struct settings *st = read_text(text, faults);

	(void)state;
	assert_string_equal(faults->str, "");
	assert_non_null(st);
	assert_string_equal(st->id, "e1");
	assert_string_equal(st->data_centre, "dc-a");
	assert_int_equal(st->log_level, LOG_INFO);
	assert_int_equal(st->isolated, ISOLATED_SERVE);
	assert_int_equal(st->queue_depth, 1024);
	assert_int_equal(st->drain_ms, 30000);
	assert_string_equal(st->front_address, "127.0.0.1:7001");
	assert_int_equal(st->connections_max, 4096);
	assert_int_equal(st->body_max, 512 * 1024);
	assert_string_equal(st->admin_address, "127.0.0.1:7002");
	assert_string_equal(st->admin_token, "replace-this-admin-token");
	assert_string_equal(st->peer_address, "127.0.0.1:7003");
	assert_string_equal(st->platform_address, "127.0.0.1:7100");
	assert_int_equal(st->platform_timeout_ms, 2000);
	assert_int_equal(st->worker_connections_max, 10);
	assert_int_equal(st->connect_timeout_ms, 500);
	assert_int_equal(st->peers_nr, 2);
	assert_string_equal(st->peers[0].id, "e2");
	assert_string_equal(st->peers[1].address, "127.0.0.1:7023");
	assert_string_equal(st->peers[1].data_centre, "dc-c");
	settings_destroy(st);
	g_string_free(faults, TRUE);
	g_free(text);
}

static const char minimal[] = "[entry]\n"
			      "id = e9\n"
			      "data_centre = dc\n"
			      "[front]\n"
			      "listen = [::1]:1\n"
			      "[admin]\n"
			      "listen = 127.0.0.1:2\n"
			      "[peer]\n"
			      "listen = 127.0.0.1:3\n"
			      "secret = 0123456789abcdef\n"
			      "[platform]\n"
			      "address = 127.0.0.1:4\n"
			      "[peer e2]\n"
			      "address = 127.0.0.1:5\n"
			      "data_centre = dc\n";

/* Guards against defaults that differ from the values in the sample file. */
static void defaults_match_the_sample(void **state)
{
	GString *faults = g_string_new(NULL);
	char *text = sample();
	struct settings *a = read_text(text, faults);
	struct settings *b = read_text(minimal, faults);

	(void)state;
	assert_string_equal(faults->str, "");
	assert_int_equal(a->log_level, b->log_level);
	assert_int_equal(a->isolated, b->isolated);
	assert_int_equal(a->queue_depth, b->queue_depth);
	assert_int_equal(a->drain_ms, b->drain_ms);
	assert_int_equal(a->connections_max, b->connections_max);
	assert_int_equal(a->body_max, b->body_max);
	assert_int_equal(a->platform_timeout_ms, b->platform_timeout_ms);
	assert_int_equal(a->worker_connections_max, b->worker_connections_max);
	assert_int_equal(a->connect_timeout_ms, b->connect_timeout_ms);
	assert_string_equal(b->admin_token, "");
	assert_memory_not_equal(a->peer_secret_digest, b->peer_secret_digest,
				CS_DIGEST_LEN);
	settings_destroy(a);
	settings_destroy(b);
	g_string_free(faults, TRUE);
	g_free(text);
}

struct fault_case {
	const char *old; /* part of minimal */
	const char *new; /* its replacement */
	const char *fault; /* the only fault expected, "" for none */
};

#define ADDRESS_TEXT                                                           \
	"a numeric IP address and port (10.0.0.1:7000 or [::1]:7000)"
#define DURATION_TEXT "a duration with a unit (250ms, 7s, 5m)"

static const struct fault_case fault_cases[] = {
	{ "id = e9\n", "",
	  "F:1: entry.id: got nothing, expected 1 to 63 letters, digits, "
	  "\".\", \"_\" or \"-\"" },
	{ "id = e9\n", "id = e 9\n",
	  "F:2: entry.id: got \"e 9\", expected 1 to 63 letters, digits, "
	  "\".\", \"_\" or \"-\"" },
	{ "id = e9\n", "id = e9\nid = e8\n",
	  "F:3: entry.id: got \"id\" again, expected it once (see line 2)" },
	{ "id = e9\n", "id = e9\nhost = h\n",
	  "F:3: entry.host: got \"host\", expected one of id, data_centre, "
	  "log_level, isolated, queue_depth, memory, drain" },
	{ "id = e9\n", "id = e2\n",
	  "F:13: peer e2: got \"e2\", expected another entry than entry.id" },
	{ "id = e9\n", "id = e9\nlog_level = loud\n",
	  "F:3: entry.log_level: got \"loud\", expected debug, info, warn, "
	  "error or fatal" },
	{ "id = e9\n", "id = e9\nisolated = no\n",
	  "F:3: entry.isolated: got \"no\", expected serve, known or refuse" },
	{ "id = e9\n", "id = e9\nqueue_depth = 0\n",
	  "F:3: entry.queue_depth: got \"0\", expected a number from 1 to "
	  "8192" },
	{ "id = e9\n", "id = e9\nqueue_depth = 99999999999999999999\n",
	  "F:3: entry.queue_depth: got \"99999999999999999999\", expected a "
	  "number from 1 to 8192" },
	{ "id = e9\n", "id = e9\nqueue_depth = -1\n",
	  "F:3: entry.queue_depth: got \"-1\", expected a number from 1 to "
	  "8192" },
	{ "id = e9\n", "id = e9\ndrain = 30\n",
	  "F:3: entry.drain: got \"30\", expected " DURATION_TEXT
	  " from 100ms to 10m" },
	{ "id = e9\n", "id = e9\ndrain = 11m\n",
	  "F:3: entry.drain: got \"11m\", expected " DURATION_TEXT
	  " from 100ms to 10m" },
	{ "id = e9\n", "id = e9\ndrain =\n",
	  "F:3: entry.drain: got \"\", expected " DURATION_TEXT
	  " from 100ms to 10m" },
	{ "[admin]\n", "body_max = 2m\n[admin]\n",
	  "F:6: front.body_max: got \"2m\", expected a size in bytes, or with "
	  "k or m from 1k to 1m" },
	{ "listen = [::1]:1\n", "listen = localhost:1\n",
	  "F:5: front.listen: got \"localhost:1\", expected " ADDRESS_TEXT },
	{ "listen = [::1]:1\n", "listen = 127.0.0.1\n",
	  "F:5: front.listen: got \"127.0.0.1\", expected " ADDRESS_TEXT },
	{ "listen = [::1]:1\n", "listen = 127.0.0.1:70000\n",
	  "F:5: front.listen: got \"127.0.0.1:70000\", expected " ADDRESS_TEXT },
	{ "listen = [::1]:1\n", "listen = 127.0.0.1:2\n",
	  "F:6: admin: got \"127.0.0.1:2\", expected another address than "
	  "[front]" },
	{ "address = 127.0.0.1:5\n", "address = 127.0.0.1:3\n",
	  "F:13: peer e2: got \"127.0.0.1:3\", expected another address than "
	  "[peer]" },
	{ "secret = 0123456789abcdef\n", "secret = shortsecret\n",
	  "F:10: peer.secret: got \"(hidden)\", expected 16 to 128 visible "
	  "characters without spaces" },
	{ "secret = 0123456789abcdef\n",
	  "secret = 0123456789abcdef\nsecert = 0123456789abcdeg\n",
	  "F:11: peer.secert: got \"secert\", expected one of listen, secret" },
	{ "secret = 0123456789abcdef\n",
	  "secret = 0123456789abcdef\nsecret 0123456789abcdeg\n",
	  "F:11: line: got no \"=\", expected [section] or key = value" },
	{ "[peer]\n", "token = short\n[peer]\n",
	  "F:8: admin.token: got \"(hidden)\", expected 16 to 63 visible "
	  "characters without spaces" },
	{ "[entry]\n", "x = y\n[entry]\n",
	  "F:1: x: got \"x\", expected a [section] before it" },
	{ "[entry]\n", "[fornt]\nlisten = x\n[entry]\n",
	  "F:1: fornt: got \"[fornt]\", expected one of [entry], [front], "
	  "[admin], [peer], [platform], [worker], [peer NAME]" },
	{ "[entry]\n", "[entry\nx = y\n[entry]\n",
	  "F:1: line: got \"[\" without \"]\", expected [section]" },
	{ "[admin]\n", "[entry]\n[admin]\n",
	  "F:6: entry: got \"[entry]\" again, expected it once (see line 1)" },
	{ "[platform]\naddress = 127.0.0.1:4\n", "",
	  "F:13: platform.address: got nothing, expected " ADDRESS_TEXT },
	{ "[peer e2]\n", "[peer e/2]\n",
	  "F:13: peer e/2.NAME: got \"e/2\", expected 1 to 63 letters, "
	  "digits, \".\", \"_\" or \"-\"" },
	{ "data_centre = dc\n[front]", "data_centre = dc ; the first\n[front]",
	  "" },
};

/* Guards against a fault that is missed, has a wrong line or causes others. */
static void each_fault_is_reported(void **state)
{
	GString *text = g_string_new(NULL);
	GString *faults = g_string_new(NULL);
	char *expected;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		struct settings *st;

		g_string_assign(text, minimal);
		assert_int_equal(g_string_replace(text, fault_cases[i].old,
						  fault_cases[i].new, 1),
				 1);
		g_string_truncate(faults, 0);
		st = read_text(text->str, faults);
		if (!*fault_cases[i].fault) {
			assert_string_equal(faults->str, "");
			assert_non_null(st);
			settings_destroy(st);
			continue;
		}
		assert_null(st);
		expected = g_strconcat(fault_cases[i].fault, "\n", NULL);
		assert_string_equal(faults->str, expected);
		g_free(expected);
	}
	g_string_free(text, TRUE);
	g_string_free(faults, TRUE);
}

/* Guards against reporting only the first of several faults. */
static void all_faults_are_listed(void **state)
{
	GString *faults = g_string_new(NULL);

	(void)state;
	assert_null(read_text("[entry]\nid = /\n[front]\nlisten = x\n"
			      "[peer e2]\n",
			      faults));
	assert_non_null(strstr(faults->str, "F:2: entry.id: "));
	assert_non_null(strstr(faults->str, "F:1: entry.data_centre: "));
	assert_non_null(strstr(faults->str, "F:4: front.listen: "));
	assert_non_null(strstr(faults->str, "F:5: peer e2.address: "));
	assert_non_null(strstr(faults->str, "F:5: peer e2.data_centre: "));
	assert_non_null(strstr(faults->str, "F:5: peer.secret: "));
	assert_non_null(strstr(faults->str, "F:5: admin.listen: "));
	assert_non_null(strstr(faults->str, "F:5: platform.address: "));
	g_string_free(faults, TRUE);
}

/*
 * Guards against truncated names, since inih truncates section names to 49
 * characters, and against accepting a line that is too long.
 */
static void long_names_are_kept(void **state)
{
	GString *faults = g_string_new(NULL);
	GString *text = g_string_new(minimal);
	char name[CS_NAME_MAX];
	struct settings *st;
	int i;

	(void)state;
	memset(name, 'n', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	g_string_append_printf(text,
			       "[peer %s]\naddress = 127.0.0.1:6\n"
			       "data_centre = dc\n",
			       name);
	st = read_text(text->str, faults);
	assert_string_equal(faults->str, "");
	assert_string_equal(st->peers[1].id, name);
	settings_destroy(st);
	g_string_append(text, "address = ");
	for (i = 0; i < 300; i++)
		g_string_append_c(text, 'x');
	assert_null(read_text(text->str, faults));
	assert_non_null(strstr(faults->str, "F:19: line: got 310 characters"));
	g_string_free(text, TRUE);
	g_string_free(faults, TRUE);
}

/*
 * Guards against accepting a file whose secrets other users can read, and
 * anything but a readable regular file.
 */
static void readable_secrets_are_refused(void **state)
{
	GString *faults = g_string_new(NULL);

	(void)state;
	settings_destroy(read_text(minimal, faults));
	assert_string_equal(faults->str, "");
	assert_int_equal(g_chmod(path, 0640), 0);
	assert_null(settings_read(path, faults));
	assert_non_null(strstr(faults->str, ":0: file: got mode 0640, "
					    "expected 0600"));
	g_string_truncate(faults, 0);
	assert_null(settings_read("/tmp", faults));
	assert_string_equal(faults->str, "/tmp:0: file: got no regular file, "
					 "expected one\n");
	g_string_truncate(faults, 0);
	assert_null(settings_read("/nowhere/entry.ini", faults));
	assert_non_null(strstr(faults->str, "expected a readable file"));
	g_string_free(faults, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(sample_is_read),
		cmocka_unit_test(defaults_match_the_sample),
		cmocka_unit_test(each_fault_is_reported),
		cmocka_unit_test(all_faults_are_listed),
		cmocka_unit_test(long_names_are_kept),
		cmocka_unit_test(readable_secrets_are_refused),
	};

	return cmocka_run_group_tests(tests, make_file, remove_file);
}
