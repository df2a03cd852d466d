#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"

/*
 * Entry points of libFuzzer. CAMPHORSHED_FUZZ names the target. If
 * CAMPHORSHED_FUZZ_SEEDS names a directory, the seeds of the target are written
 * there and the process exits. "--list" prints the names of the targets.
 */

static const struct fuzz_target *const targets[] = {
	&fuzz_settings,
	&fuzz_document_ini,
	&fuzz_document_json,
	&fuzz_changes,
	&fuzz_peer,
	&fuzz_front,
	&fuzz_admin,
	&fuzz_ledger,
	&fuzz_claim_map,
	&fuzz_long_record,
	&fuzz_host_record,
	&fuzz_server_record,
	&fuzz_operator_record,
	&fuzz_order_reply,
	&fuzz_store_reply,
	&fuzz_job,
	&fuzz_relay,
};

static const struct fuzz_target *target;

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

void fuzz_require(bool holds, const char *property)
{
	if (holds)
		return;
	fprintf(stderr, "property violated: %s\n", property);
	abort();
}

void fuzz_require_same(GBytes *first, GBytes *second, const char *property)
{
	fuzz_require(g_bytes_equal(first, second), property);
}

void fuzz_add_text(GPtrArray *seeds, const char *text)
{
	g_ptr_array_add(seeds, g_bytes_new(text, strlen(text)));
}

static void write_seeds(const char *dir)
{
	GPtrArray *seeds =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	gsize len;
	guint i;

	target->add_seeds(seeds);
	for (i = 0; i < seeds->len; i++) {
		char *path = g_strdup_printf("%s/seed-%u", dir, i);
		const char *data = g_bytes_get_data(seeds->pdata[i], &len);

		if (!g_file_set_contents(path, data, (gssize)len, NULL)) {
			fprintf(stderr, "cannot write %s\n", path);
			exit(1);
		}
		g_free(path);
	}
	g_ptr_array_free(seeds, TRUE);
}

/* libFuzzer defines the prototype, so argc can't point to const. */
/* NOLINTNEXTLINE(readability-non-const-parameter) */
int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	const char *name = getenv("CAMPHORSHED_FUZZ");
	const char *seeds_dir = getenv("CAMPHORSHED_FUZZ_SEEDS");
	size_t i;

	if (*argc > 1 && !strcmp((*argv)[1], "--list")) {
		for (i = 0; i < G_N_ELEMENTS(targets); i++)
			puts(targets[i]->name);
		exit(0);
	}
	for (i = 0; i < G_N_ELEMENTS(targets); i++)
		if (name && !strcmp(name, targets[i]->name))
			target = targets[i];
	if (!target || sodium_init() < 0) {
		fputs("CAMPHORSHED_FUZZ must name a target, see --list\n",
		      stderr);
		exit(2);
	}
	if (seeds_dir) {
		write_seeds(seeds_dir);
		exit(0);
	}
	return 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	/* A copy of the exact size lets asan detect reads past the end. */
	GBytes *input = g_bytes_new(data, size);

	target->run(input);
	g_bytes_unref(input);
	return 0;
}
