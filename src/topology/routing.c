#include "topology/routing.h"

#include <stdlib.h>
#include <string.h>

#define HOST_SIZE 256
#define PATH_SIZE 4096 /* longer paths are matched by their beginning */

mg_routing *
mg_routing_new(void)
{
    mg_routing *t = mg_alloc(sizeof(*t));
    t->refs = 1;
    return t;
}

mg_routing *
mg_routing_ref(mg_routing *t)
{
    t->refs++;
    return t;
}

/* Frees all elements of a hash table. owned: expression for the memory that
   the element e owns, or NULL. */
#define FREE_ALL(type, head, owned) \
    do {                            \
        type *e;                    \
        type *e1;                   \
        HASH_ITER(hh, head, e, e1)  \
        {                           \
            HASH_DEL(head, e);      \
            free(owned);            \
            free(e);                \
        }                           \
    } while (0)

void
mg_routing_unref(mg_routing *t)
{
    if (t == NULL || --t->refs > 0) {
        return;
    }
    FREE_ALL(mg_service, t->services, NULL);
    FREE_ALL(mg_route, t->routes, e->key);
    FREE_ALL(mg_client_workspace, t->workspaces, NULL);
    FREE_ALL(mg_client_key, t->keys, e->key);
    free(t);
}

mg_rc
mg_routing_add_service(mg_routing *t, mg_service *s)
{
    if (mg_routing_service(t, mg_str_of(s->name)) != NULL) {
        free(s);
        return MG_E_VERSION_CONFLICT;
    }
    HASH_ADD_STR(t->services, name, s);
    return MG_OK;
}

mg_rc
mg_routing_add_route(mg_routing *t, mg_route *r, mg_str host, mg_str prefix)
{
    mg_route *old;
    mg_buf key = {0};
    mg_buf_put(&key, host.p, host.n);
    mg_buf_put(&key, "", 1);
    mg_buf_put(&key, prefix.p, prefix.n);
    HASH_FIND(hh, t->routes, key.p, key.n, old);
    if (old != NULL) {
        mg_buf_free(&key);
        free(r);
        return MG_E_VERSION_CONFLICT;
    }
    r->key = key.p;
    r->key_size = key.n;
    HASH_ADD_KEYPTR(hh, t->routes, r->key, r->key_size, r);
    return MG_OK;
}

mg_rc
mg_routing_add_workspace(mg_routing *t, mg_client_workspace *w)
{
    mg_client_workspace *old;
    HASH_FIND_STR(t->workspaces, w->name, old);
    if (old != NULL) {
        free(w);
        return MG_E_VERSION_CONFLICT;
    }
    HASH_ADD_STR(t->workspaces, name, w);
    return MG_OK;
}

mg_rc
mg_routing_add_key(mg_routing *t, mg_client_workspace *w, mg_str key)
{
    mg_client_key *k;
    HASH_FIND(hh, t->keys, key.p, key.n, k);
    if (k != NULL) {
        return MG_E_VERSION_CONFLICT;
    }
    k = mg_alloc(sizeof(*k));
    k->key = mg_str_dup(key);
    k->workspace = w;
    HASH_ADD_KEYPTR(hh, t->keys, k->key, key.n, k);
    return MG_OK;
}

mg_service *
mg_routing_service(const mg_routing *t, mg_str name)
{
    mg_service *s;
    HASH_FIND(hh, t->services, name.p, name.n, s);
    return s;
}

const mg_route *
mg_routing_find_route(const mg_routing *t, mg_str host, mg_str path)
{
    char key[HOST_SIZE + PATH_SIZE];
    mg_str port;
    mg_str name = mg_str_split(host, ':', &port);
    if (name.n == 0 || name.n >= HOST_SIZE) {
        return NULL;
    }
    for (size_t i = 0; i < name.n; i++) {
        char c = name.p[i];
        key[i] = c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
    }
    key[name.n] = '\0';
    size_t n = path.n < PATH_SIZE - 1 ? path.n : PATH_SIZE - 1;
    memcpy(key + name.n + 1, path.p, n);
    for (; n > 0; n--) {
        mg_route *r;
        if (path.p[n - 1] != '/') {
            continue;
        }
        HASH_FIND(hh, t->routes, key, name.n + 1 + n, r);
        if (r != NULL) {
            return r;
        }
    }
    return NULL;
}

const mg_client_workspace *
mg_routing_workspace_by_key(const mg_routing *t, mg_str key)
{
    mg_client_key *k = NULL;
    if (key.n > 0) {
        HASH_FIND(hh, t->keys, key.p, key.n, k);
    }
    return k ? k->workspace : NULL;
}

mg_service *
mg_route_choose_service(const mg_route *r, double at)
{
    double rest = at * r->weight_sum;
    for (size_t i = 0; i + 1 < r->split_count; i++) {
        if (rest < r->splits[i].weight) {
            return r->splits[i].service;
        }
        rest -= r->splits[i].weight;
    }
    return r->splits[r->split_count - 1].service;
}
