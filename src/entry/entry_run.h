#ifndef ENTRY_RUN_H
#define ENTRY_RUN_H

#include "../settings/settings.h"

/*
 * Runs an entry with these settings until SIGTERM or SIGINT, then drains it
 * and returns CS_OK. If the start fails, fills err and returns another code.
 */
int entry_run(const struct settings *settings, struct cs_error *err);

#endif
