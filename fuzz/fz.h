/*
 * Fuzz targets: each reads bytes as one of the programs gets them from outside,
 * and checks what must hold for any bytes.  A broken rule aborts.
 *
 * Each target is a program of libFuzzer's; fz_seeds writes the first inputs of
 * all of them.  fuzz/run.sh runs them.
 */
#ifndef FZ_H
#define FZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/** fz_require() - abort with @text unless @holds */
static inline void fz_require(int holds, const char *text)
{
	if (holds)
		return;
	fprintf(stderr, "broken: %s\n", text);
	abort();
}

/** LLVMFuzzerTestOneInput() - entry point of a target */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

#endif
