#ifndef FLEET_HOST_LIST_H
#define FLEET_HOST_LIST_H

#include "../entry/message.h"

/*
 * The state of hosts by the platform's host list, which lags. A host is gone
 * only if the list once contained it and has been without it for
 * HOST_GONE_TIME.
 */
struct host_list;

struct host_list *host_list_create(void);
void host_list_destroy(struct host_list *list);

/* Updates the list from a reply of the platform. */
void host_list_update(struct host_list *list, const struct kv_host *hosts,
		      size_t nr, cs_time now);

bool host_list_is_leaving(const struct host_list *list, const char *host);
/* Known, and missing from the last replies or leaving. */
bool host_list_is_absent(const struct host_list *list, const char *host);
/* In the last reply, and not leaving. */
bool host_list_is_live(const struct host_list *list, const char *host);
bool host_list_is_gone(const struct host_list *list, const char *host,
		       cs_time now);

#endif
