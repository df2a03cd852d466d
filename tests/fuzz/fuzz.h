#ifndef FUZZ_H
#define FUZZ_H

#include <glib.h>
#include <stdbool.h>

/*
 * A fuzz target feeds arbitrary bytes to the decoder of one kind of input from
 * outside the process. It aborts if a property that must hold for every input
 * does not.
 */
struct fuzz_target {
	const char *name;
	void (*run)(GBytes *input);
	/* Adds the inputs of the initial corpus, as GBytes. */
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
extern const struct fuzz_target fuzz_server_record;
extern const struct fuzz_target fuzz_operator_record;
extern const struct fuzz_target fuzz_order_reply;
extern const struct fuzz_target fuzz_store_reply;
extern const struct fuzz_target fuzz_job;
extern const struct fuzz_target fuzz_relay;

/* Aborts, so that libFuzzer reports the input, if a property does not hold. */
void fuzz_require(bool holds, const char *property);

/* Adds a string to the initial corpus. */
void fuzz_add_text(GPtrArray *seeds, const char *text);

/*
 * Requires equal bytes. A value that is encoded, decoded and encoded again must
 * give the same bytes, else an entry could write what other entries refuse to
 * read.
 */
void fuzz_require_same(GBytes *first, GBytes *second, const char *property);

#endif
