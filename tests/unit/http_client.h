#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "unit.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../../src/entry/bus.h"

/* An HTTP client with one blocking socket, for tests of the HTTP servers. */

/* Returns a socket bound to a free loopback port, with its address in out. */
int client_bind(char out[CS_ADDRESS_MAX]);

/* Sets out to "127.0.0.1:PORT" with a port that is free at the moment. */
void client_free_address(char out[CS_ADDRESS_MAX]);

/* Connects and sends text. Reads from the socket time out after 5 s. */
int client_send(const char *address, const char *text);

/* Sends more on an open connection; a closed one is not an error. */
void client_write(int fd, const char *text);

/*
 * Reads one answer and fails unless it contains each of the parts, which are
 * separated by "|".
 */
void client_expect(int fd, const char *parts);

/* Sends a request on a new connection and checks its answer as above. */
void client_check(const char *address, const char *text, const char *parts);

/* Fails unless the server has closed the connection. Closes the socket. */
void client_expect_end(int fd);

/* Returns the task's next message; fails without one of that type in 5 s. */
struct msg *client_take(struct bus *bus, enum bus_task task,
			enum msg_type type);

/* Returns the counters of a task as text, to be freed with g_free(). */
char *client_metrics(struct bus *bus, enum bus_task task);

/* Group setup and teardown: log4c can be initialized once in a process only. */
int client_open_log(void **state);
int client_close_log(void **state);

/* Fails if the core's mailbox is not empty. */
void client_expect_idle_core(struct bus *bus);

/* Fills the core's mailbox, so that it refuses new work. */
void client_fill_core(struct bus *bus);

#endif
