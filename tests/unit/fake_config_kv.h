#ifndef FAKE_CONFIG_KV_H
#define FAKE_CONFIG_KV_H

#include "../../src/entry/message.h"

/* The platform's key-value service in memory: versions, a watch, faults. */
struct fake_config_kv {
	GHashTable *rows; /* key -> struct kv_row */
	uint64_t revision;
	GQueue watches; /* calls that wait, with their deadlines */
	bool is_down;
	int lose_answers; /* of the next writes, which take effect */
	int lose_calls; /* of the next writes, which take no effect */
	int calls;
};

/* A call of one caller; node is returned with its answer. */
struct fake_config_answer {
	int node;
	struct msg *msg;
};

void fake_config_kv_init(struct fake_config_kv *kv);
void fake_config_kv_clear(struct fake_config_kv *kv);

/* The answer, to be freed by the caller, or NULL if the call waits. */
struct msg *fake_config_kv_call(struct fake_config_kv *kv, int node,
				const struct kv_call *call, cs_time now);

/* A watch that ends now, or a NULL msg. */
struct fake_config_answer fake_config_kv_poll(struct fake_config_kv *kv,
					      cs_time now);

/* Sets a key, as another writer would. */
void fake_config_kv_put(struct fake_config_kv *kv, const char *key,
			GBytes *value);

#endif
