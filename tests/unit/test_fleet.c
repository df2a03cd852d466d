#include "unit.h"

#include "../../src/base/heap.h"
#include "../../src/fleet/load_heap.h"
#include "../../src/fleet/task_count.h"

/* Tests of how an entry estimates and compares the load of workers. */

/*
 * Guards against an idle worker that looks busy: a usage report is about a time
 * before it arrives, so an own task that has ended since then must not be taken
 * for one of another entry.
 */
static void count_of_the_past_is_known(void **state)
{
	struct task_count c = { 0 };

	(void)state;
	assert_int_equal(task_count_at(&c, 5), 0);
	task_count_add(&c, 1, 100);
	task_count_add(&c, 1, 200);
	task_count_add(&c, -1, 300);
	task_count_add(&c, -1, 300);
	assert_int_equal(c.tasks, 0);
	assert_int_equal(task_count_at(&c, 99), 0);
	assert_int_equal(task_count_at(&c, 100), 1);
	assert_int_equal(task_count_at(&c, 299), 2);
	assert_int_equal(task_count_at(&c, 300), 0);
	assert_int_equal(task_count_at(&c, 1000), 0);
}

static void count_of_a_forgotten_time_is_the_oldest(void **state)
{
	struct task_count c = { 0 };
	int i;

	(void)state;
	for (i = 1; i <= TASK_COUNT_CHANGES; i++)
		task_count_add(&c, 1, i);
	assert_int_equal(task_count_at(&c, 0), 0);
	task_count_add(&c, 1, i);
	assert_int_equal(task_count_at(&c, 0), 2);
	assert_int_equal(task_count_at(&c, 2), 2);
	assert_int_equal(task_count_at(&c, i), TASK_COUNT_CHANGES + 1);
}

/*
 * Guards against work that comes one at a time and goes to one worker alone
 * while others are idle: should that worker turn silent, nothing is answered.
 */
static void idle_workers_take_turns(void **state)
{
	struct load_key a = { .tie_breaker = 1 }, b = { .tie_breaker = 2 };

	(void)state;
	assert_true(load_key_is_before(&a.node, &b.node));
	a.last_used = 1;
	assert_true(load_key_is_before(&b.node, &a.node));
	b.last_used = 2;
	assert_true(load_key_is_before(&a.node, &b.node));
	a.load = 0.5;
	assert_true(load_key_is_before(&b.node, &a.node));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(count_of_the_past_is_known),
		cmocka_unit_test(count_of_a_forgotten_time_is_the_oldest),
		cmocka_unit_test(idle_workers_take_turns),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
