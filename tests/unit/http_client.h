#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "../../src/entry/bus.h"

/* A caller made of one blocking socket, for tests of the HTTP servers. */

/* Writes "127.0.0.1:PORT" with a port that is free now. */
void client_free_address(char out[CS_ADDRESS_MAX]);

/* Connects and sends text. Reads on the socket end after 5 s. */
int client_send(const char *address, const char *text);

/* Sends more on an open connection; a closed one is not an error. */
void client_write(int fd, const char *text, size_t len);

/*
 * Reads one answer: status line, headers and a body of Content-Length bytes.
 * Returns "" if the connection ends first. The caller releases it.
 */
char *client_read(int fd);

/* Reads one answer, closes, and fails unless it holds all texts (NULL ends). */
void client_expect(int fd, ...) __attribute__((sentinel));

/* The next message for that task, within 5 s, or NULL. */
struct msg *client_take(struct bus *bus, enum bus_task task);

#endif
