#ifndef DECIDE_ESCROW_INTERNAL_H
#define DECIDE_ESCROW_INTERNAL_H

#include "decide/escrow.h"

/* Internal to escrow.c and escrow_transfer.c. */
uint64_t escrow_token(const struct escrow *b);
uint64_t escrow_cap(const struct escrow *b, uint32_t share);
void escrow_accrue(struct escrow *b, usec_t now);
bool escrow_check_lease(struct escrow *b, usec_t now);
uint32_t escrow_min_share(const struct escrow *b);

#endif
