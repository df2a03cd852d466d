#ifndef FLEET_HOST_LIST_H
#define FLEET_HOST_LIST_H

#include "../entry/message.h"

/*
 * What the platform's lagging host list has said. A host is gone only when
 * the list held it once and has then been without it for long enough.
 */
struct host_list;

struct host_list *host_list_create(void);
void host_list_destroy(struct host_list *list);

/* Takes one answer of the platform. */
void host_list_update(struct host_list *list, const struct kv_host *hosts,
		      size_t nr, cs_time now);

bool host_list_is_leaving(const struct host_list *list, const char *host);
/* Known, but missing from the last answers, or leaving. */
bool host_list_is_absent(const struct host_list *list, const char *host);
/* In the last answer, and not leaving. */
bool host_list_is_live(const struct host_list *list, const char *host);
bool host_list_is_gone(const struct host_list *list, const char *host,
		       cs_time now);

#endif
