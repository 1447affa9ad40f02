#ifndef CMD_OPERATOR_KEY_H
#define CMD_OPERATOR_KEY_H

#include <stddef.h>

#define OPERATOR_KEY_VARIABLE "GYPSUMCLEAT_OPERATOR_KEY"

/* Reads the key from a file's first line, or without one from the variable. */
int operator_key_read(const char *file, char *out, size_t size);

#endif
