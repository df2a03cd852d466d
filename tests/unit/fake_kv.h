#ifndef FAKE_KV_H
#define FAKE_KV_H

#include "../../src/entry/message.h"

/*
 * An in-memory model of the platform's key-value service. As in the real one,
 * the version of a key is the revision of the service at which it was written.
 */
struct fake_kv {
	GHashTable *rows; /* key -> struct kv_row */
	uint64_t revision;
	GPtrArray *watches; /* struct fake_watch */
};

struct fake_watch {
	void *caller;
	uint64_t incarnation; /* of the caller at the time of the call */
	struct kv_call call;
	cs_time until;
};

/* What happens to one compare-and-swap. */
enum fake_fault {
	FAKE_NO_FAULT,
	FAKE_LOST_APPLIED, /* takes effect, the answer is lost */
	FAKE_LOST_DROPPED, /* has no effect, the answer is lost */
	FAKE_LOST_LATE /* as dropped, but fake_fleet applies it later */
};

void fake_kv_init(struct fake_kv *kv);
void fake_kv_clear(struct fake_kv *kv);

/* Sets a key, as another writer would. */
void fake_kv_put(struct fake_kv *kv, const char *key, GBytes *value);

/* The value of a key, owned by kv, or NULL. */
GBytes *fake_kv_value(const struct fake_kv *kv, const char *key);

/* Returns the answer, owned by the caller. The fault applies to writes only. */
struct msg *fake_kv_call(struct fake_kv *kv, const struct kv_call *call,
			 enum fake_fault fault);

/* Registers a KV_WATCH call; fake_kv_poll() returns its answer. */
void fake_kv_watch(struct fake_kv *kv, const struct kv_call *call, void *caller,
		   uint64_t incarnation, cs_time now);

/*
 * Ends one watch that has changed rows, has timed out or whose caller is cut
 * off. Returns its answer and copies the watch to ended, or returns NULL if
 * all watches go on.
 */
struct msg *fake_kv_poll(struct fake_kv *kv, cs_time now,
			 bool (*is_cut_off)(const void *caller),
			 struct fake_watch *ended);

#endif
