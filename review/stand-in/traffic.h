/* Callers with the kinds of requests of hcs-quotes, for the scripts. */
#ifndef REVIEW_TRAFFIC_H
#define REVIEW_TRAFFIC_H

#include <stdint.h>

/* Starts the callers; they go on until traffic_stop(), which waits for them. */
void traffic_start(void);
void traffic_stop(void);
/* Counts the operations sent in a span, and those that were served. */
int traffic_count(int64_t from, int64_t to, int *served);
/* Writes the first operations of a span that were not served to the record. */
void traffic_note_unserved(int64_t from, int64_t to, int most);
/* Writes all operations to the record. */
void traffic_note_all(void);

#endif
