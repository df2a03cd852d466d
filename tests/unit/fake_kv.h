#ifndef FAKE_KV_H
#define FAKE_KV_H

#include "../../src/entry/message.h"

/*
 * The platform's key-value service in memory. As there, a version is the
 * revision of the whole service at which the key was written.
 */
struct fake_kv {
	GHashTable *rows; /* key -> struct kv_row */
	uint64_t revision;
	GPtrArray *watches; /* struct fake_watch */
};

struct fake_watch {
	void *caller;
	uint64_t incarnation; /* of the caller when it asked */
	struct kv_call call;
	cs_time until;
};

/* What happens to one compare-and-swap. */
enum fake_fault {
	FAKE_NO_FAULT,
	FAKE_LOST_APPLIED, /* takes effect, the answer is lost */
	FAKE_LOST_DROPPED, /* has no effect, the answer is lost */
	FAKE_LOST_LATE /* as dropped; the caller applies it later */
};

void fake_kv_init(struct fake_kv *kv);
void fake_kv_clear(struct fake_kv *kv);

/* Sets a key, as another writer would. */
void fake_kv_put(struct fake_kv *kv, const char *key, GBytes *value);

/* The value of a key, or NULL. */
GBytes *fake_kv_value(const struct fake_kv *kv, const char *key);

/* The answer, to be freed by the caller. The fault is for writes only. */
struct msg *fake_kv_call(struct fake_kv *kv, const struct kv_call *call,
			 enum fake_fault fault);

/* Keeps a call of KV_WATCH; fake_kv_poll() gives its answer. */
void fake_kv_watch(struct fake_kv *kv, const struct kv_call *call, void *caller,
		   uint64_t incarnation, cs_time now);

/*
 * Ends a watch that has rows, whose time is over or whose caller is cut off:
 * its answer, with the watch through ended, or NULL if all go on waiting.
 */
struct msg *fake_kv_poll(struct fake_kv *kv, cs_time now,
			 bool (*is_cut_off)(const void *caller),
			 struct fake_watch *ended);

#endif
