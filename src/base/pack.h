/*
 * pack - compressed texts (zlib)
 *
 * A packed text is PACKED_MARK and a zlib stream. A text that does not begin
 * with that byte is returned unchanged by mg_unpack(), so that texts which
 * were stored before they were packed remain readable.
 */
#ifndef MG_PACK_H
#define MG_PACK_H

#include "base/bytes.h"
#include "base/outcome.h"

/* Appends text, packed, to out. */
void
mg_pack(mg_str text, mg_buf *out);
/* Appends the text that was packed to out. MG_E_TOO_LARGE if it has more than
   max bytes, MG_E_CORRUPT if it is damaged; out then holds a part of it. */
mg_rc
mg_unpack(mg_str packed, size_t max, mg_buf *out);

#endif
