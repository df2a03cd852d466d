#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "world.h"

/* Time after the last fault within which all accepted work must end. */
#define SETTLE_TIME (150 * CS_SEC)

/* With fewer steps some faults may not have occurred. */
#define STEPS_FOR_ALL 500000

static int check_coverage(const struct world *w)
{
	int i, missing = 0;

	if (w->opt.steps < STEPS_FOR_ALL)
		return 0;
	for (i = 0; i < INV_NR; i++) {
		if (w->checks[i])
			continue;
		printf("invariant number %d was never checked\n", i);
		missing++;
	}
	for (i = 0; i < FAULT_NR; i++) {
		if (w->injected[i])
			continue;
		printf("fault=%s never struck\n", fault_name((enum fault)i));
		missing++;
	}
	return missing;
}

static int run(const struct world_options *options)
{
	struct world *w = world_create(options);
	int failed;

	while (w->steps < options->steps && !w->violations)
		if (!world_step(w))
			break;
	if (!w->violations) {
		faults_end_all(w);
		world_run_until(w, w->now + SETTLE_TIME);
	}
	if (!w->violations)
		check_end(w);
	print_report(w);
	failed = w->violations ? 0 : check_coverage(w);
	printf("violations=%" PRIu64 "\n", w->violations);
	failed = failed || w->violations;
	world_destroy(w);
	return failed ? 1 : 0;
}

int main(int argc, char **argv)
{
	int seed = 1;
	gint64 steps = 1000000;
	char *mutant = NULL;
	const GOptionEntry entries[] = { { "seed", 0, 0, G_OPTION_ARG_INT,
					   &seed, "seed of the run", "N" },
					 { "steps", 0, 0, G_OPTION_ARG_INT64,
					   &steps, "events to run", "N" },
					 { "mutate", 0, 0, G_OPTION_ARG_STRING,
					   &mutant, "turn one mechanism off",
					   "NAME" },
					 G_OPTION_ENTRY_NULL };
	struct world_options options = { .entries = 6,
					 .data_centres = 3,
					 .teams = 5,
					 .workers = 2,
					 .limit_share = 12 };
	GOptionContext *parser = g_option_context_new("- seeded driver");
	GError *error = NULL;
	int code;

	g_option_context_add_main_entries(parser, entries, NULL);
	if (!g_option_context_parse(parser, &argc, &argv, &error) ||
	    argc != 1) {
		fprintf(stderr, "camphorshed-soak: %s\n",
			error ? error->message : "unexpected argument");
		return 2;
	}
	options.seed = (uint32_t)seed;
	options.steps = (uint64_t)steps;
	options.mutant = mutant;
	code = run(&options);
	g_option_context_free(parser);
	g_free(mutant);
	return code;
}
