#include <stdio.h>
#include <string.h>

#include "bench.h"

struct bench {
	const char *name;
	int (*run)(void);
};

static const struct bench benches[] = {
	{ "slope", bench_slope },   { "place", bench_place },
	{ "share", bench_share },   { "leave", bench_leave },
	{ "urgent", bench_urgent }, { "plan", bench_plan },
};

/* Runs the benchmarks given as arguments, or all of them. */
int main(int argc, char **argv)
{
	size_t nr = sizeof(benches) / sizeof(benches[0]), i;
	int failures = 0, known, a;

	for (i = 0; i < nr && argc < 2; i++)
		failures += benches[i].run();
	for (a = 1; a < argc; a++) {
		known = 0;
		for (i = 0; i < nr; i++) {
			if (strcmp(benches[i].name, argv[a]) != 0)
				continue;
			known = 1;
			failures += benches[i].run();
		}
		if (!known) {
			fprintf(stderr, "unknown benchmark: %s\n", argv[a]);
			return 2;
		}
	}
	return failures ? 1 : 0;
}
