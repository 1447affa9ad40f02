#ifndef CMD_SETTINGS_FILE_H
#define CMD_SETTINGS_FILE_H

#include "kernel/settings.h"

/*
 * Reads "-f FILE" of serve and check and loads the file. Returns 0, or an exit
 * code after telling on standard error what is wrong.
 */
int settings_from_arguments(int argc, char **argv, struct settings *s);

#endif
