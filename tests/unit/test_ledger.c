#include "unit.h"

#include <string.h>

#include "../../src/ledger/ledger_codec.h"

static const struct ledger_limit ten_permits[] = { { "red", 10 } };

/* A reserve with ten permits of one team. */
static struct ledger *make_reserve(void)
{
	struct ledger *l = ledger_create(LEDGER_RESERVE);

	assert_int_equal(ledger_set_limits(l, 1, ten_permits, 1), CS_OK);
	return l;
}

/*
 * A receiver that reads an old copy of the sender's document must not credit a
 * transfer twice.
 */
static void transfer_is_credited_once(void **state)
{
	struct ledger *reserve = make_reserve(), *old;
	struct ledger *dc = ledger_create("dc1");

	(void)state;
	assert_int_equal(ledger_send(reserve, "red", "dc1", 4), CS_OK);
	assert_int_equal(ledger_send(reserve, "red", "dc2", 3), CS_OK);
	old = ledger_copy(reserve);
	assert_int_equal(ledger_receive(dc, reserve), 4);
	assert_int_equal(ledger_receive(dc, reserve), 0);
	assert_int_equal(ledger_remove_received(reserve, dc), 1);
	assert_int_equal(ledger_receive(dc, old), 0);
	assert_int_equal(ledger_balance(dc, "red"), 4);
	assert_int_equal(ledger_balance(reserve, "red"), 3);
	assert_int_equal(reserve->outgoing->len, 1);
	assert_true(ledger_is_balanced(reserve) && ledger_is_balanced(dc));
	ledger_destroy(old);
	ledger_destroy(dc);
	ledger_destroy(reserve);
}

/* An entry with an older fleet document must not undo a newer limit. */
static void older_limits_are_refused(void **state)
{
	struct ledger *l = make_reserve();

	(void)state;
	assert_int_equal(ledger_send(l, "red", "dc1", 8), CS_OK);
	assert_int_equal(ledger_set_limits(l, 3, NULL, 0), CS_OK);
	assert_int_equal(ledger_balance(l, "red"), -8);
	assert_int_equal(ledger_set_limits(l, 2, ten_permits, 1), CS_ERR_STALE);
	assert_int_equal(ledger_balance(l, "red"), -8);
	assert_int_equal(ledger_send(l, "red", "dc1", 1), CS_ERR_LIMIT);
	ledger_destroy(l);
}

/* Permits that the source does not have must not be moved. */
static void moves_are_bounded(void **state)
{
	struct ledger *l = ledger_create("dc1"), *reserve = make_reserve();
	struct ledger_holder *h;

	(void)state;
	ledger_send(reserve, "red", "dc1", 5);
	ledger_receive(l, reserve);
	h = ledger_add_holder(l, "e1", 7);
	assert_int_equal(ledger_assign(l, h, "red", 6), CS_ERR_LIMIT);
	assert_int_equal(ledger_assign(l, h, "red", -1), CS_ERR_LIMIT);
	assert_int_equal(ledger_assign(l, h, "red", 5), CS_OK);
	assert_int_equal(ledger_unassign(l, h, "red", 6), CS_ERR_LIMIT);
	assert_int_equal(ledger_unassign(l, h, "red", 1), CS_OK);
	assert_int_equal(ledger_reclaim(l, "e1", 6), CS_ERR_MISSING);
	assert_int_equal(ledger_reclaim(l, "e1", 7), CS_OK);
	assert_int_equal(ledger_balance(l, "red"), 5);
	ledger_destroy(l);
	ledger_destroy(reserve);
}

/* Encoding and decoding must not lose or change anything in a document. */
static void document_survives_codec(void **state)
{
	struct ledger *reserve = make_reserve(), *l = ledger_create("dc1");
	struct ledger_holder *h;
	GBytes *a, *b;
	struct ledger *copy;

	(void)state;
	ledger_send(reserve, "red", "dc1", 9);
	ledger_receive(l, reserve);
	h = ledger_add_holder(l, "e2", 3);
	h->run_ms = 30000;
	ledger_assign(l, h, "red", 5);
	ledger_set_wanted(h, "red", 2);
	ledger_mark_dead(l, h);
	ledger_send(l, "red", LEDGER_RESERVE, 2);
	a = ledger_encode(l);
	copy = ledger_decode(a, "dc1", NULL);
	assert_non_null(copy);
	assert_true(ledger_is_balanced(copy));
	b = ledger_encode(copy);
	assert_true(g_bytes_equal(a, b));
	assert_int_equal(ledger_last_received(copy, LEDGER_RESERVE), 1);
	g_bytes_unref(a);
	g_bytes_unref(b);
	ledger_destroy(copy);
	ledger_destroy(l);
	ledger_destroy(reserve);
}

#define DOCUMENT(teams, holders, outgoing)                                     \
	"{\"account\":\"dc1\",\"change\":\"c\",\"revision\":0,"                \
	"\"sequence\":5,\"marks\":0,\"teams\":" teams ",\"holders\":" holders  \
	",\"outgoing\":" outgoing ",\"received\":{}}"

/* Decoding a damaged or truncated document must fail without a crash. */
static void bad_documents_are_errors(void **state)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{\"account\":\"dc1\"",
		"{\"account\":\"dc2\"}",
		DOCUMENT("{\"red\":[-1,0]}", "[]", "[]"),
		DOCUMENT("{\"red\":[1.5,0]}", "[]", "[]"),
		DOCUMENT("{\"red\":[1]}", "[]", "[]"),
		DOCUMENT("{\"\":[1,0]}", "[]", "[]"),
		DOCUMENT("{\"red\":[1,0],\"red\":[1,0]}", "[]", "[]"),
		DOCUMENT("{}", "[7]", "[]"),
		DOCUMENT("{}", "{}", "[]"),
		DOCUMENT("{}", "[]", "[[6,\"dc2\",\"red\",1]]"),
		DOCUMENT("{}", "[]", "[[0,\"dc2\",\"red\",1]]"),
		DOCUMENT("{}", "[]", "[[2,\"a\",\"r\",1],[2,\"a\",\"r\",1]]"),
		DOCUMENT("{}", "[]", "[[1,\"dc2\",\"red\",0]]"),
	};
	static const char good[] = DOCUMENT("{\"red\":[1,0]}", "[]", "[]");
	struct cs_error err;
	struct ledger *l;
	GBytes *bytes;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		bytes = g_bytes_new_static(bad[i], strlen(bad[i]));
		assert_null(ledger_decode(bytes, "dc1", &err));
		assert_int_equal(err.code, CS_ERR_INVALID);
		g_bytes_unref(bytes);
	}
	assert_null(ledger_decode(NULL, "dc1", &err));
	bytes = g_bytes_new_static(good, strlen(good));
	l = ledger_decode(bytes, "dc1", &err);
	assert_non_null(l);
	ledger_destroy(l);
	for (i = 0; i < strlen(good); i++) {
		GBytes *part = g_bytes_new_from_bytes(bytes, 0, i);

		assert_null(ledger_decode(part, "dc1", &err));
		g_bytes_unref(part);
	}
	g_bytes_unref(bytes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(transfer_is_credited_once),
		cmocka_unit_test(older_limits_are_refused),
		cmocka_unit_test(moves_are_bounded),
		cmocka_unit_test(document_survives_codec),
		cmocka_unit_test(bad_documents_are_errors),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
