#include <string.h>

#include "sample_fleet.h"

static int apply(struct document *doc, struct change change)
{
	struct document *before = document_copy(doc);
	GString *diff = g_string_new(NULL);
	struct cs_error err = { 0 };
	int ret = document_apply(doc, &change, &err);

	document_diff(before, doc, diff);
	if (ret) {
		assert_int_equal(diff->len, 0);
		assert_true(err.message[0]);
		assert_string_equal(err.step, "change");
	}
	g_string_free(diff, TRUE);
	document_destroy(before);
	return ret;
}

static int host_op(struct document *doc, enum change_op op, const char *name,
		   const char *pool)
{
	struct change c = { .op = op };

	g_strlcpy(c.name, name, CS_NAME_MAX);
	g_strlcpy(c.pool, pool, CS_NAME_MAX);
	return apply(doc, c);
}

#define EXPECT_HOST_OP(op, host, pool, code)                                   \
	assert_int_equal(host_op(doc, CHANGE_HOST_##op, host, pool), code)
#define EXPECT_INVALID(doc, ...)                                               \
	assert_int_equal(apply(doc, (struct change){ __VA_ARGS__ }),           \
			 CS_ERR_INVALID)
#define EXPECT_MISSING(doc, ...)                                               \
	assert_int_equal(apply(doc, (struct change){ __VA_ARGS__ }),           \
			 CS_ERR_MISSING)

/* Guards against accepting a value out of its range. */
static void values_are_bounded(void **state)
{
	struct document *doc = sample_fleet(2, 8, 2, 2);

	(void)state;
	EXPECT_INVALID(doc, .op = CHANGE_TEAM_SET, .name = "Upper", .share = 1);
	EXPECT_INVALID(doc, .op = CHANGE_TEAM_SET, .name = "", .share = 1);
	EXPECT_INVALID(doc, .op = CHANGE_TEAM_SET, .name = "t", .share = 0);
	EXPECT_INVALID(doc, .op = CHANGE_TEAM_SET, .name = "t", .share = 1001);
	EXPECT_INVALID(doc, .op = CHANGE_TEAM_SET, .name = "t", .share = 1,
		       .limit = -1);
	EXPECT_INVALID(doc, .op = CHANGE_TEAM_SET, .name = "t", .share = 1,
		       .limit = 1000001);
	EXPECT_INVALID(doc, .op = CHANGE_POOL_SET, .name = "p",
		       .budget_percent = 101);
	EXPECT_INVALID(doc, .op = CHANGE_WORKER_SET, .name = "w",
		       .host = "host-0", .address = "localhost:80", .slots = 1);
	EXPECT_INVALID(doc, .op = CHANGE_WORKER_SET, .name = "w",
		       .host = "host-0", .address = "10.0.0.1:80", .slots = 0);
	EXPECT_INVALID(doc, .op = CHANGE_PRESET, .name = "none");
	EXPECT_INVALID(doc, .op = CHANGE_OP_NR);
	document_destroy(doc);
}

/*
 * Guards against references to rows that do not exist, which would show only
 * when work needs them.
 */
static void references_exist(void **state)
{
	struct document *doc = sample_fleet(2, 8, 2, 2);

	(void)state;
	EXPECT_MISSING(doc, .op = CHANGE_QUEUE_SET, .name = "q",
		       .pool = "none");
	EXPECT_MISSING(doc, .op = CHANGE_QUEUE_SET, .name = "q",
		       .pool = "pool-0", .is_open = true);
	EXPECT_MISSING(doc, .op = CHANGE_HOST_SET, .name = "h", .pool = "none");
	EXPECT_MISSING(doc, .op = CHANGE_HOST_MOVE, .name = "host-0",
		       .pool = "none");
	EXPECT_MISSING(doc, .op = CHANGE_HOST_DRAIN, .name = "none");
	EXPECT_MISSING(doc, .op = CHANGE_WORKER_SET, .name = "w",
		       .host = "none");
	EXPECT_MISSING(doc, .op = CHANGE_DATA_CENTRE_OUT, .name = "z");
	EXPECT_MISSING(doc, .op = CHANGE_TEAM_REMOVE, .name = "none");
	EXPECT_MISSING(doc, .op = CHANGE_KEY_WITHDRAW, .name = "team-0",
		       .label = "none");
	assert_int_equal(apply(doc, (struct change){ .op = CHANGE_QUEUE_SET,
						     .name = "open",
						     .pool = "pool-0",
						     .team = "team-0",
						     .is_open = true }),
			 CS_OK);
	EXPECT_INVALID(doc, .op = CHANGE_TEAM_REMOVE, .name = "team-0");
	document_destroy(doc);
}

/*
 * Guards against a key granted to two teams, so that one is charged for the
 * work of the other (I3).
 */
static void key_has_only_one_team(void **state)
{
	struct document *doc = sample_fleet(1, 4, 1, 2);
	struct change c = { .op = CHANGE_KEY_GRANT,
			    .name = "team-1",
			    .label = "stolen",
			    .has_digest = true };

	(void)state;
	memcpy(c.digest, document_team(doc, "team-0")->keys[0].digest,
	       CS_DIGEST_LEN);
	assert_int_equal(apply(doc, c), CS_ERR_INVALID);
	c.op = CHANGE_KEY_WITHDRAW;
	strcpy(c.name, "team-0");
	assert_int_equal(apply(doc, c), CS_OK);
	assert_int_equal(document_team(doc, "team-0")->keys_nr, 1);
	c.op = CHANGE_KEY_GRANT;
	strcpy(c.name, "team-1");
	assert_int_equal(apply(doc, c), CS_OK);
	document_destroy(doc);
}

/* Guards against planned stops beyond rack or data centre budgets (I1). */
static void drains_respect_budgets(void **state)
{
	/* Data centre a has hosts 0, 2, ... in racks of 4, all in pool-0. */
	struct document *doc = sample_fleet(2, 40, 2, 0);
	struct change out = { .op = CHANGE_DATA_CENTRE_OUT, .name = "a" };

	(void)state;
	EXPECT_HOST_OP(DRAIN, "host-0", "", CS_OK);
	/* the same rack */
	EXPECT_HOST_OP(DRAIN, "host-2", "", CS_ERR_INVALID);
	/* the rack of the same name in another data centre */
	EXPECT_HOST_OP(DRAIN, "host-1", "", CS_OK);
	EXPECT_HOST_OP(DRAIN, "host-8", "", CS_OK);
	EXPECT_HOST_OP(DRAIN, "host-16", "", CS_OK);
	EXPECT_HOST_OP(DRAIN, "host-24", "", CS_OK);
	/* 20% of 20 hosts are down */
	EXPECT_HOST_OP(DRAIN, "host-32", "", CS_ERR_INVALID);
	sample_apply(doc, out);
	EXPECT_HOST_OP(DRAIN, "host-32", "", CS_OK);
	EXPECT_HOST_OP(DRAIN, "host-2", "", CS_OK);
	document_destroy(doc);
}

/*
 * Guards against planned stops beyond the budget of a pool, which counts its
 * hosts in all data centres that are in service.
 */
static void drains_respect_pool_budget(void **state)
{
	/* pool-0 has hosts 0, 10 and 20 in a, b and c; 25% of 3 counts as 1 */
	struct document *doc = sample_fleet(3, 30, 10, 0);
	struct change out = { .op = CHANGE_DATA_CENTRE_OUT, .name = "a" };

	(void)state;
	EXPECT_HOST_OP(DRAIN, "host-0", "", CS_OK);
	EXPECT_HOST_OP(DRAIN, "host-10", "", CS_ERR_INVALID);
	sample_apply(doc, out);
	EXPECT_HOST_OP(DRAIN, "host-10", "", CS_OK);
	document_destroy(doc);
}

/* Guards against stopping the only host of a pool with a budget below 100%. */
static void single_host_is_not_drained(void **state)
{
	struct document *doc = sample_fleet(1, 4, 4, 0);
	struct change c = { .op = CHANGE_POOL_SET,
			    .name = "pool-0",
			    .budget_percent = 99 };

	(void)state;
	sample_apply(doc, c);
	EXPECT_HOST_OP(DRAIN, "host-0", "", CS_ERR_INVALID);
	c.budget_percent = 100;
	sample_apply(doc, c);
	EXPECT_HOST_OP(DRAIN, "host-0", "", CS_OK);
	document_destroy(doc);
}

/* Guards against moving a host while work runs on it (I2). */
static void moves_need_an_empty_host(void **state)
{
	struct document *doc = sample_fleet(1, 20, 2, 0);
	struct change set = { .op = CHANGE_HOST_SET,
			      .name = "host-0",
			      .rack = "rack-0",
			      .data_centre = "a",
			      .pool = "pool-1" };

	(void)state;
	assert_int_equal(apply(doc, set), CS_ERR_INVALID);
	EXPECT_HOST_OP(MOVE, "host-0", "pool-1", CS_ERR_INVALID);
	EXPECT_HOST_OP(EMPTY, "host-0", "", CS_ERR_INVALID);
	EXPECT_HOST_OP(RETURN, "host-0", "", CS_ERR_INVALID);
	EXPECT_HOST_OP(DRAIN, "host-0", "", CS_OK);
	EXPECT_HOST_OP(DRAIN, "host-0", "", CS_ERR_INVALID);
	EXPECT_HOST_OP(MOVE, "host-0", "pool-1", CS_ERR_INVALID);
	assert_string_equal(document_host(doc, "host-0")->pool, "pool-0");
	EXPECT_HOST_OP(EMPTY, "host-0", "", CS_OK);
	EXPECT_HOST_OP(MOVE, "host-0", "pool-1", CS_OK);
	assert_string_equal(document_host(doc, "host-0")->pool, "pool-1");
	EXPECT_HOST_OP(RETURN, "host-0", "", CS_OK);
	assert_int_equal(document_host(doc, "host-0")->state, HOST_ASSIGNED);
	document_destroy(doc);
}

/* Guards against bypassing the budgets by replacing the document (I1). */
static void replacement_stops_no_host(void **state)
{
	struct document *doc = sample_fleet(1, 8, 2, 0);
	struct document *next = document_copy(doc);
	struct document *fewer = sample_fleet(1, 7, 2, 0);
	GString *faults = g_string_new(NULL);

	(void)state;
	assert_int_equal(document_check_replace(doc, next, faults), 0);
	assert_int_equal(document_check_replace(fewer, doc, faults), 0);
	assert_int_equal(document_check_replace(doc, fewer, faults), 1);
	assert_int_equal(host_op(next, CHANGE_HOST_DRAIN, "host-0", ""), CS_OK);
	assert_int_equal(document_check_replace(doc, next, faults), 1);
	assert_int_equal(document_check_replace(next, doc, faults), 0);
	assert_int_equal(host_op(next, CHANGE_HOST_EMPTY, "host-0", ""), CS_OK);
	assert_int_equal(host_op(next, CHANGE_HOST_MOVE, "host-0", "pool-1"),
			 CS_OK);
	assert_int_equal(document_check_replace(doc, next, faults), 2);
	assert_non_null(strstr(faults->str, "host host-7: must be empty"));
	g_string_free(faults, TRUE);
	document_destroy(doc);
	document_destroy(next);
	document_destroy(fewer);
}

/* Guards against limits that a team can't reach, since the fleet is smaller. */
static void limits_fit_the_fleet(void **state)
{
	struct document *doc = sample_fleet(1, 1, 1, 1);
	struct change c = { .op = CHANGE_TEAM_SET,
			    .name = "team-0",
			    .share = 1,
			    .limit = 33 };
	GString *faults = g_string_new(NULL);

	(void)state;
	assert_int_equal(document_check(doc, faults), 0);
	sample_apply(doc, c);
	assert_int_equal(document_check(doc, faults), 1);
	assert_string_equal(faults->str, "team team-0: limit 33 is above the "
					 "32 slots of the fleet\n");
	g_string_free(faults, TRUE);
	document_destroy(doc);
}

/*
 * Guards against missing or extra lines in the differences that operators are
 * shown after a conflict.
 */
static void diff_names_each_difference(void **state)
{
	struct document *a = sample_fleet(1, 2, 1, 2);
	struct document *b = document_copy(a);
	struct change team = { .op = CHANGE_TEAM_SET,
			       .name = "team-0",
			       .share = 9,
			       .limit = 4 };
	struct change removed = { .op = CHANGE_TEAM_REMOVE, .name = "team-1" };
	struct change preset = { .op = CHANGE_PRESET, .name = "peak" };
	struct change pool = { .op = CHANGE_POOL_SET,
			       .name = "extra",
			       .is_spare = true };
	GString *out = g_string_new(NULL);

	(void)state;
	document_diff(a, b, out);
	assert_int_equal(out->len, 0);
	sample_apply(b, team);
	sample_apply(b, removed);
	sample_apply(b, preset);
	sample_apply(b, pool);
	document_diff(a, b, out);
	assert_string_equal(out->str,
			    "~ preset: ordinary -> peak\n"
			    "+ pool extra is_spare=true budget_percent=0\n"
			    "~ team team-0: share 1 -> 9\n"
			    "- team team-1\n"
			    "- key team-1/key-0 01000000...\n"
			    "- key team-1/key-1 01000000...\n");
	g_string_free(out, TRUE);
	document_destroy(a);
	document_destroy(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(values_are_bounded),
		cmocka_unit_test(references_exist),
		cmocka_unit_test(key_has_only_one_team),
		cmocka_unit_test(drains_respect_budgets),
		cmocka_unit_test(drains_respect_pool_budget),
		cmocka_unit_test(single_host_is_not_drained),
		cmocka_unit_test(moves_need_an_empty_host),
		cmocka_unit_test(replacement_stops_no_host),
		cmocka_unit_test(limits_fit_the_fleet),
		cmocka_unit_test(diff_names_each_difference),
	};

	return cmocka_run_group_tests_name("document", tests, NULL, NULL);
}
