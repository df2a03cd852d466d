#include <string.h>

#include "../../src/config/codec.h"
#include "sample_fleet.h"

static struct document *decode(const struct document_codec *codec,
			       const char *text, GString *faults)
{
	GBytes *bytes = g_bytes_new_static(text, strlen(text));
	struct document *doc = codec->decode(bytes, "test", faults);

	g_bytes_unref(bytes);
	return doc;
}

/* Asserts that text is refused with exactly these faults. */
static void expect_faults(const struct document_codec *codec, const char *text,
			  const char *expected)
{
	GString *faults = g_string_new(NULL);

	assert_null(decode(codec, text, faults));
	assert_string_equal(faults->str, expected);
	g_string_free(faults, TRUE);
}

/* Guards against a field that an encoding loses, which reverts it (I12). */
static void round_trip_keeps_all_fields(void **state)
{
	const struct document_codec *const codecs[] = { &document_codec_json,
							&document_codec_ini };
	struct document *doc = sample_fleet(3, 40, 5, 6);
	struct change drain = { .op = CHANGE_HOST_DRAIN, .name = "host-3" };
	struct change out = { .op = CHANGE_DATA_CENTRE_OUT, .name = "b" };
	struct change preset = { .op = CHANGE_PRESET, .name = "maintenance" };
	GString *text = g_string_new(NULL);
	size_t i;

	(void)state;
	sample_apply(doc, drain);
	sample_apply(doc, out);
	sample_apply(doc, preset);
	document_set_revision(doc, 12);
	document_set_change_id(doc, "e1-5-9");
	for (i = 0; i < G_N_ELEMENTS(codecs); i++) {
		GBytes *bytes = codecs[i]->encode(doc);
		struct document *back = codecs[i]->decode(bytes, "test", text);
		GBytes *again;

		assert_string_equal(text->str, "");
		assert_non_null(back);
		document_diff(doc, back, text);
		assert_string_equal(text->str, "");
		again = codecs[i]->encode(back);
		assert_true(g_bytes_equal(bytes, again));
		if (codecs[i] == &document_codec_json) {
			assert_int_equal(document_revision(back), 12);
			assert_string_equal(document_change_id(back), "e1-5-9");
		}
		g_bytes_unref(again);
		g_bytes_unref(bytes);
		document_destroy(back);
	}
	g_string_free(text, TRUE);
	document_destroy(doc);
}

/* Guards against faults of a file that are left out or have a wrong line. */
static void ini_lists_every_fault(void **state)
{
	(void)state;
	expect_faults(&document_codec_ini,
		      "early = 1\n"
		      "[preset]\n"
		      "name = calm\n"
		      "[host h1]\n"
		      "rack = r1\n"
		      "rack = r2\n"
		      "  pool = p1 ; comment\n"
		      "colour = red\n"
		      "no value\n"
		      "[team t]\n"
		      "share = 1001\n"
		      "limit = x\n"
		      "key.k = 12\n"
		      "[host  h1]\n"
		      "rack = r1\n"
		      "[shelf s]\n"
		      "[queue Q]\n"
		      "[queue\n"
		      "x = 1\n",
		      "test:1: a section was expected before \"early\"\n"
		      "test:3: name is not ordinary, peak or maintenance\n"
		      "test:6: duplicate rack\n"
		      "test:8: unknown name \"colour\"\n"
		      "test:9: NAME = VALUE was expected\n"
		      "test:4: data_centre is missing\n"
		      "test:11: share is not an integer from 1 to 1000\n"
		      "test:12: limit is not an integer from 0 to 1000000\n"
		      "test:13: key.k is not 64 hexadecimal digits\n"
		      "test:14: duplicate section [host  h1]\n"
		      "test:16: unknown section [shelf s]\n"
		      "test:17: the section needs a name of 1 to 63 characters "
		      "of a-z, 0-9 and -\n"
		      "test:18: a section is written [KIND NAME]\n");
	expect_faults(&document_codec_ini, "", "test:1: [preset] is missing\n");
}

/* Guards against faults of JSON that are left out or have a wrong path. */
static void json_lists_every_fault(void **state)
{
	(void)state;
	expect_faults(
		&document_codec_json,
		"{\"revision\":-1,\"preset\":3,\"zone\":1,\"hosts\":{},"
		"\"pools\":[3,{\"name\":\"p\",\"budget_percent\":\"1\","
		"\"size\":2},{\"name\":\"p\",\"budget_percent\":1,"
		"\"is_spare\":1}],\"teams\":[{\"name\":\"T\",\"limit\":"
		"9999999999999,\"keys\":[{\"label\":\"k\",\"digest\":\"0\"},"
		"7]}]}",
		"test: document: unknown field \"zone\"\n"
		"test: revision: is not an integer of at least 0\n"
		"test: preset: is not ordinary, peak or maintenance\n"
		"test: pools[0]: is not an object\n"
		"test: pools[1]: unknown field \"size\"\n"
		"test: pools[1]: budget_percent is not an integer from 0 to "
		"100\n"
		"test: pools[2]: duplicate name p\n"
		"test: pools[2]: is_spare is not true or false\n"
		"test: hosts: is not an array\n"
		"test: teams[0]: name is not a name of 1 to 63 characters of "
		"a-z, 0-9 and -\n"
		"test: teams[0]: share is missing\n"
		"test: teams[0]: limit is not an integer from 0 to 1000000\n"
		"test: teams[0].keys[0]: digest is not 64 hexadecimal digits\n"
		"test: teams[0].keys[1]: is not an object\n");
	expect_faults(&document_codec_json, "[]",
		      "test: document: is not an object\n");
}

/* Guards against crashes on corrupt input, and accepting oversized input. */
static void damaged_input_is_refused(void **state)
{
	const struct document_codec *const codecs[] = { &document_codec_json,
							&document_codec_ini };
	struct document *doc = sample_fleet(2, 4, 2, 2);
	GRand *rng = g_rand_new_with_seed(7);
	char *big = g_strnfill((gsize)CS_VALUE_MAX + 1, ' ');
	GString *faults = g_string_new(NULL);
	size_t i, n;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(codecs); i++) {
		GBytes *bytes = codecs[i]->encode(doc);
		gsize len;
		const char *data = g_bytes_get_data(bytes, &len);

		for (n = 0; n < 2000; n++) {
			char *copy = g_memdup2(data, len);
			size_t cut = (size_t)g_rand_int_range(rng, 0, (int)len);
			GBytes *bad;

			copy[cut] = (char)g_rand_int(rng);
			bad = g_bytes_new_take(copy, n % 2 ? len : cut);
			document_destroy(codecs[i]->decode(bad, "x", faults));
			g_bytes_unref(bad);
		}
		g_string_truncate(faults, 0);
		assert_null(decode(codecs[i], big, faults));
		assert_non_null(strstr(faults->str, "longer than 1048576"));
		g_bytes_unref(bytes);
	}
	g_free(big);
	g_string_free(faults, TRUE);
	g_rand_free(rng);
	document_destroy(doc);
}

/*
 * Guards against arithmetic on the null pointer that GBytes returns for empty
 * data, a fault found by the fuzz target document_ini.
 */
static void empty_input_is_refused(void **state)
{
	GBytes *empty = g_bytes_new(NULL, 0);
	GString *faults = g_string_new(NULL);

	(void)state;
	assert_null(document_codec_ini.decode(empty, "empty", faults));
	assert_string_equal(faults->str, "empty:1: [preset] is missing\n");
	assert_null(document_codec_json.decode(empty, "empty", faults));
	g_string_free(faults, TRUE);
	g_bytes_unref(empty);
}

/* Guards against changes that the encoding alters, and invalid ones. */
static void changes_round_trip(void **state)
{
	static const char bad[] = "[{\"op\":\"fly\"},{\"op\":\"host-drain\","
				  "\"pool\":\"p\"},4]";
	struct change in[CHANGE_OP_NR], *out;
	struct cs_error err = { 0 };
	GBytes *bytes, *again;
	size_t i, nr;

	(void)state;
	for (i = 0; i < CHANGE_OP_NR; i++)
		in[i] = (struct change){ .op = (enum change_op)i,
					 .name = "n",
					 .pool = "p",
					 .team = "t",
					 .host = "h",
					 .rack = "r",
					 .data_centre = "d",
					 .address = "[::1]:9",
					 .label = "l",
					 .digest = { 1, 2, 255 },
					 .has_digest = true,
					 .is_open = true,
					 .is_spare = true,
					 .share = 3,
					 .limit = 4,
					 .budget_percent = 5,
					 .slots = 6 };
	bytes = changes_encode_json(in, CHANGE_OP_NR);
	assert_int_equal(changes_decode_json(bytes, &out, &nr, &err), CS_OK);
	assert_int_equal(nr, CHANGE_OP_NR);
	again = changes_encode_json(out, nr);
	assert_true(g_bytes_equal(bytes, again));
	assert_memory_equal(out[CHANGE_KEY_GRANT].digest, in[0].digest,
			    CS_DIGEST_LEN);
	assert_true(out[CHANGE_KEY_GRANT].has_digest);
	assert_string_equal(out[CHANGE_WORKER_SET].address, "[::1]:9");
	g_free(out);
	g_bytes_unref(bytes);
	g_bytes_unref(again);
	bytes = g_bytes_new_static(bad, strlen(bad));
	assert_int_equal(changes_decode_json(bytes, &out, &nr, &err),
			 CS_ERR_INVALID);
	assert_string_equal(err.message,
			    "[0]: op is missing or unknown; [1]: unknown field "
			    "\"pool\"; name is missing; [2]: op is missing or "
			    "unknown; ");
	assert_null(out);
	g_bytes_unref(bytes);
}

/*
 * Guards against exceeding the platform's 1 MB per value with the largest fleet
 * that the design allows (design 1.4). The times are printed, not checked,
 * since they depend on the machine.
 */
static void largest_fleet_fits(void **state)
{
	struct document *doc = sample_fleet(11, 550, 113, 370), *back;
	GString *faults = g_string_new(NULL);
	gint64 start, encode_us, decode_us, check_us;
	GBytes *bytes;

	(void)state;
	start = g_get_monotonic_time();
	bytes = document_codec_json.encode(doc);
	encode_us = g_get_monotonic_time() - start;
	start = g_get_monotonic_time();
	back = document_codec_json.decode(bytes, "test", faults);
	decode_us = g_get_monotonic_time() - start;
	start = g_get_monotonic_time();
	assert_int_equal(document_check(back, faults), 0);
	check_us = g_get_monotonic_time() - start;
	print_message("design_size bytes=%zu encode_us=%" G_GINT64_FORMAT
		      " decode_us=%" G_GINT64_FORMAT
		      " check_us=%" G_GINT64_FORMAT "\n",
		      g_bytes_get_size(bytes), encode_us, decode_us, check_us);
	assert_true(g_bytes_get_size(bytes) < (gsize)CS_VALUE_MAX);
	g_bytes_unref(bytes);
	g_string_free(faults, TRUE);
	document_destroy(back);
	document_destroy(doc);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(round_trip_keeps_all_fields),
		cmocka_unit_test(ini_lists_every_fault),
		cmocka_unit_test(json_lists_every_fault),
		cmocka_unit_test(damaged_input_is_refused),
		cmocka_unit_test(empty_input_is_refused),
		cmocka_unit_test(changes_round_trip),
		cmocka_unit_test(largest_fleet_fits),
	};

	return cmocka_run_group_tests_name("codec", tests, NULL, NULL);
}
