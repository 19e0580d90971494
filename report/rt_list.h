/*
 * Sorted arrays of pointers to messages, in the layout that protobuf-c uses
 * for repeated fields.
 */
#ifndef RT_LIST_H
#define RT_LIST_H

#include <string.h>

#include <glib.h>

/**
 * typedef rt_compare - compare a key with an element
 *
 * Return: less than, equal to or greater than 0, as strcmp().
 */
typedef int (*rt_compare)(const void *key, const void *element);

/**
 * rt_list_find() - find the index of @key by binary search
 * @found: set to whether the element at that index has the key
 *
 * Return: the index of the element, or where it would be inserted.
 */
static inline size_t rt_list_find(void *const *list, size_t n, const void *key,
				  rt_compare compare, bool *found)
{
	size_t low = 0;
	size_t high = n;

	*found = false;
	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = compare(key, list[middle]);

		if (!order) {
			*found = true;
			return middle;
		}
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return low;
}

/** rt_list_insert() - insert @element at index @at */
static inline void rt_list_insert(void ***list, size_t *n, size_t at,
				  void *element)
{
	*list = g_renew(void *, *list, *n + 1);
	memmove(*list + at + 1, *list + at, (*n - at) * sizeof(void *));
	(*list)[at] = element;
	(*n)++;
}

/** rt_list_remove() - remove and return the element at index @at */
static inline void *rt_list_remove(void **list, size_t *n, size_t at)
{
	void *element = list[at];

	(*n)--;
	memmove(list + at, list + at + 1, (*n - at) * sizeof(void *));
	return element;
}

#endif
