#include "unit.h"

#include "../../src/pool/budget.h"

/* Two data centres with ten hosts each, all in one pool and in own racks. */
static struct budget *make_fleet(int failed, bool second_is_out)
{
	struct budget *b = budget_create(20, 1, 2);
	int i;

	budget_set_pool(b, 0, 25);
	if (second_is_out)
		budget_exclude_data_centre(b, 1);
	for (i = 0; i < 20; i++)
		budget_add(b, &(struct budget_location){ i, 0, i / 10 },
			   i < failed);
	return b;
}

/* Rounding up would stop more hosts of a pool than operators allow. */
static void limit_rounds_down(void **state)
{
	(void)state;
	assert_int_equal(budget_limit(9, 25), 2);
	assert_int_equal(budget_limit(3, 25), 1);
	assert_int_equal(budget_limit(2, 0), 1);
	assert_int_equal(budget_limit(1, 25), 0);
	assert_int_equal(budget_limit(0, 25), 0);
}

/* Two hosts of a rack must not stop together: one may depend on the other. */
static void rack_stops_one_host_at_a_time(void **state)
{
	struct budget *b = budget_create(1, 2, 1);
	struct budget_location location = { 0, 0, 0 };
	int i;

	(void)state;
	budget_set_pool(b, 0, 100);
	for (i = 0; i < 10; i++)
		budget_add(b, &location, false);
	assert_int_equal(budget_take(b, &location), BUDGET_GRANTED);
	assert_int_equal(budget_take(b, &location), BUDGET_NO_RACK);
	budget_destroy(b);
}

/* No more than 20 % of a data centre may stop, even if the pool allows it. */
static void data_centre_keeps_four_fifths(void **state)
{
	struct budget *b = make_fleet(0, false);
	int i;

	(void)state;
	for (i = 0; i < 2; i++)
		assert_int_equal(
			budget_take(b, &(struct budget_location){ i, 0, 0 }),
			BUDGET_GRANTED);
	assert_int_equal(budget_take(b, &(struct budget_location){ 2, 0, 0 }),
			 BUDGET_NO_DATA_CENTRE);
	assert_int_equal(budget_take(b, &(struct budget_location){ 10, 0, 1 }),
			 BUDGET_GRANTED);
	budget_destroy(b);
}

/* Planned stops must not go on while many hosts fail. */
static void failures_halt_planned_stops(void **state)
{
	struct budget *b = make_fleet(5, false);

	(void)state;
	assert_int_equal(budget_take(b, &(struct budget_location){ 10, 0, 1 }),
			 BUDGET_NO_POOL);
	budget_destroy(b);
}

/* Hosts of a data centre that is out must not use up the pool's budget. */
static void data_centre_that_is_out_does_not_count(void **state)
{
	struct budget *b = make_fleet(0, true);
	int i;

	(void)state;
	for (i = 10; i < 20; i++)
		assert_int_equal(
			budget_take(b, &(struct budget_location){ i, 0, 1 }),
			BUDGET_GRANTED);
	assert_int_equal(budget_take(b, &(struct budget_location){ 0, 0, 0 }),
			 BUDGET_GRANTED);
	budget_destroy(b);
	/* Only ten hosts of the pool count, so two may stop instead of five. */
	b = make_fleet(2, true);
	assert_int_equal(budget_take(b, &(struct budget_location){ 2, 0, 0 }),
			 BUDGET_NO_POOL);
	budget_destroy(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(limit_rounds_down),
		cmocka_unit_test(rack_stops_one_host_at_a_time),
		cmocka_unit_test(data_centre_keeps_four_fifths),
		cmocka_unit_test(failures_halt_planned_stops),
		cmocka_unit_test(data_centre_that_is_out_does_not_count),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
