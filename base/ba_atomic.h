/*
 * Atomic loads with acquire order, stores with release order, and counters.
 * Concurrency Kit implements them in inline assembly, which the thread
 * sanitizer cannot instrument, so sanitized builds use compiler builtins.
 * The headers of Concurrency Kit are not valid C++: do not include this file
 * from a public header.
 */
#ifndef BA_ATOMIC_H
#define BA_ATOMIC_H

#include <stdint.h>

#if defined(__SANITIZE_THREAD__)
#define BA_TSAN 1
#elif defined(__has_feature)
#if __has_feature(thread_sanitizer)
#define BA_TSAN 1
#endif
#endif

#ifdef BA_TSAN

static inline int ba_load_int(const int *p)
{
	return __atomic_load_n(p, __ATOMIC_ACQUIRE);
}

static inline void ba_store_int(int *p, int v)
{
	__atomic_store_n(p, v, __ATOMIC_RELEASE);
}

static inline uint64_t ba_load_64(const uint64_t *p)
{
	return __atomic_load_n(p, __ATOMIC_ACQUIRE);
}

static inline void ba_store_64(uint64_t *p, uint64_t v)
{
	__atomic_store_n(p, v, __ATOMIC_RELEASE);
}

/** ba_add_64() - add @v to a counter; return the value before */
static inline uint64_t ba_add_64(uint64_t *p, uint64_t v)
{
	return __atomic_fetch_add(p, v, __ATOMIC_ACQ_REL);
}

static inline void *ba_load_ptr(void *const *p)
{
	return __atomic_load_n(p, __ATOMIC_ACQUIRE);
}

static inline void ba_store_ptr(void **p, void *v)
{
	__atomic_store_n(p, v, __ATOMIC_RELEASE);
}

#else

#include <ck_pr.h>

static inline int ba_load_int(const int *p)
{
	int v = ck_pr_load_int(p);

	ck_pr_fence_acquire();
	return v;
}

static inline void ba_store_int(int *p, int v)
{
	ck_pr_fence_release();
	ck_pr_store_int(p, v);
}

static inline uint64_t ba_load_64(const uint64_t *p)
{
	uint64_t v = ck_pr_load_64(p);

	ck_pr_fence_acquire();
	return v;
}

static inline void ba_store_64(uint64_t *p, uint64_t v)
{
	ck_pr_fence_release();
	ck_pr_store_64(p, v);
}

static inline uint64_t ba_add_64(uint64_t *p, uint64_t v)
{
	return ck_pr_faa_64(p, v);
}

static inline void *ba_load_ptr(void *const *p)
{
	void *v = ck_pr_load_ptr(p);

	ck_pr_fence_acquire();
	return v;
}

static inline void ba_store_ptr(void **p, void *v)
{
	ck_pr_fence_release();
	ck_pr_store_ptr(p, v);
}

#endif
#endif
