#ifndef CMD_OPERATOR_KEY_H
#define CMD_OPERATOR_KEY_H

#include <stddef.h>

#define OPERATOR_KEY_VARIABLE "GYPSUMCLEAT_OPERATOR_KEY"

int operator_key_read(const char *file, char *out, size_t size);

#endif
