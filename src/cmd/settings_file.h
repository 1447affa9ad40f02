#ifndef CMD_SETTINGS_FILE_H
#define CMD_SETTINGS_FILE_H

#include "kernel/settings.h"

int settings_from_arguments(int argc, char **argv, struct settings *s);

#endif
