#ifndef DECIDE_ESCROW_OWN_H
#define DECIDE_ESCROW_OWN_H

#include "decide/escrow.h"

/* Shared by escrow.c and escrow_give.c alone. */
uint64_t escrow_token(const struct escrow *b);
uint64_t escrow_cap(const struct escrow *b, uint32_t share);
void escrow_accrue(struct escrow *b, usec_t now);
bool escrow_lapsed(struct escrow *b, usec_t now);
uint32_t escrow_useful(const struct escrow *b);

#endif
