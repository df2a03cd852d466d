#ifndef FUZZ_H
#define FUZZ_H

#include <glib.h>
#include <stdbool.h>

/*
 * Fuzz targets: each reads one kind of input that comes from outside the
 * process. A target must accept any bytes; it ends the process if a rule is
 * broken that holds for all of them.
 */
struct fuzz_target {
	const char *name;
	void (*run)(GBytes *input);
	/* Adds valid inputs, as GBytes, from which libFuzzer starts. */
	void (*add_seeds)(GPtrArray *seeds);
};

extern const struct fuzz_target fuzz_settings;
extern const struct fuzz_target fuzz_document_ini;
extern const struct fuzz_target fuzz_document_json;
extern const struct fuzz_target fuzz_changes;
extern const struct fuzz_target fuzz_peer;
extern const struct fuzz_target fuzz_front;
extern const struct fuzz_target fuzz_admin;
extern const struct fuzz_target fuzz_ledger;
extern const struct fuzz_target fuzz_claim_map;
extern const struct fuzz_target fuzz_long_record;
extern const struct fuzz_target fuzz_host_record;

/* Ends the process, with a report of libFuzzer, if the rule is broken. */
void fuzz_require(bool holds, const char *rule);

/* Appends text as a seed. */
void fuzz_add_text(GPtrArray *seeds, const char *text);

/*
 * A value that was decoded must survive its own encoding, else an entry could
 * write what the others refuse to read.
 */
void fuzz_require_same(GBytes *first, GBytes *second, const char *rule);

#endif
