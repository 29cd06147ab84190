/*
 * list - intrusive doubly linked lists
 *
 * A list_head is embedded in the object that is linked. An empty list is a
 * head that points to itself. A node may be on one list at a time; after
 * list_del() it is unlinked and may be deleted again without effect.
 */
#ifndef MG_LIST_H
#define MG_LIST_H

#include <stddef.h>

struct list_head {
    struct list_head *prev;
    struct list_head *next;
};

#define list_entry(el, type, member) \
    ((type *)((char *)(el)-offsetof(type, member)))

#define list_for_each(el, head) \
    for (struct list_head *el = (head)->next; el != (head); el = el->next)

/* the loop body may unlink the current node */
#define list_for_each_safe(el, el1, head)                                    \
    for (struct list_head *el = (head)->next, *el1 = el->next; el != (head); \
         el = el1, el1 = el->next)

static inline void
init_list_head(struct list_head *head)
{
    head->prev = head;
    head->next = head;
}

static inline void
list_add_before(struct list_head *el, struct list_head *at)
{
    el->prev = at->prev;
    el->next = at;
    at->prev->next = el;
    at->prev = el;
}

static inline void
list_add_tail(struct list_head *el, struct list_head *head)
{
    list_add_before(el, head);
}

static inline void
list_del(struct list_head *el)
{
    el->prev->next = el->next;
    el->next->prev = el->prev;
    init_list_head(el);
}

static inline int
list_empty(const struct list_head *head)
{
    return head->next == head;
}

#endif
