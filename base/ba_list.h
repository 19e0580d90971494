/*
 * Intrusive doubly linked lists: the link is a member of the element.  The
 * list is circular, and its head is a link outside of any element.
 */
#ifndef BA_LIST_H
#define BA_LIST_H

#include <stdbool.h>
#include <stddef.h>

/** struct ba_list - the head of a list, or the link in an element */
struct ba_list {
	struct ba_list *prev;
	struct ba_list *next;
};

/** ba_entry() - get the element whose member @member is the link at @ptr */
#define ba_entry(ptr, type, member) \
	((type *)((char *)(ptr)-offsetof(type, member)))

/** ba_list_each() - iterate over a list; @pos must not be removed */
#define ba_list_each(pos, head) \
	for ((pos) = (head)->next; (pos) != (head); (pos) = (pos)->next)

/** ba_list_each_safe() - iterate over a list; @pos may be removed */
#define ba_list_each_safe(pos, tmp, head)                                \
	for ((pos) = (head)->next, (tmp) = (pos)->next; (pos) != (head); \
	     (pos) = (tmp), (tmp) = (pos)->next)

static inline void ba_list_init(struct ba_list *head)
{
	head->prev = head;
	head->next = head;
}

static inline bool ba_list_empty(const struct ba_list *head)
{
	return head->next == head;
}

static inline void ba_list_insert_before(struct ba_list *pos,
					 struct ba_list *link)
{
	link->prev = pos->prev;
	link->next = pos;
	pos->prev->next = link;
	pos->prev = link;
}

/** ba_list_append() - add @link at the end of the list */
static inline void ba_list_append(struct ba_list *head, struct ba_list *link)
{
	ba_list_insert_before(head, link);
}

/** ba_list_prepend() - add @link at the front of the list */
static inline void ba_list_prepend(struct ba_list *head, struct ba_list *link)
{
	ba_list_insert_before(head->next, link);
}

/** ba_list_remove() - remove @link; removing it twice is harmless */
static inline void ba_list_remove(struct ba_list *link)
{
	link->prev->next = link->next;
	link->next->prev = link->prev;
	ba_list_init(link);
}

#endif
