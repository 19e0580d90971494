/*
 * A seeded pseudorandom number generator (SplitMix64).  Code that needs
 * randomness takes the generator as an argument, so that a run can be repeated.
 * It is not cryptographically secure.
 */
#ifndef BA_RAND_H
#define BA_RAND_H

#include <stdint.h>

/** struct ba_rand - state of one generator; any seed is valid */
struct ba_rand {
	uint64_t state;
};

/** ba_rand_next() - generate 64 random bits */
static inline uint64_t ba_rand_next(struct ba_rand *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/** ba_rand_below() - generate a number from 0 to @n - 1; 0 if @n is 0 */
static inline uint64_t ba_rand_below(struct ba_rand *r, uint64_t n)
{
	return n ? ba_rand_next(r) % n : 0;
}

#endif
