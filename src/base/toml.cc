extern "C" {
#include "base/outcome.h"
}
#include "base/toml.h"

#include <cstdio>
#include <sstream>
#include <string>
#include <string_view>

#include <toml++/toml.h>

namespace {

constexpr int max_depth = 16;

json_t *
position_of(const toml::node &n)
{
    json_t *pos = json_object();
    json_object_set_new(pos, "l", json_integer(n.source().begin.line));
    json_object_set_new(pos, "c", json_integer(n.source().begin.column));
    return pos;
}

template <typename T>
json_t *
date_text(const T &date)
{
    std::ostringstream text;
    text << date;
    return json_string(text.str().c_str());
}

json_t *
convert(const toml::node &n, json_t **pos, int depth);

json_t *
convert_table(const toml::table &t, json_t **pos, int depth)
{
    json_t *tree = json_object();
    json_t *keys = json_object();
    for (auto &&[key, value] : t) {
        json_t *sub = nullptr;
        std::string name(key.str());
        json_object_set_new(tree, name.c_str(),
                            convert(value, &sub, depth + 1));
        json_object_set_new(sub, "l", json_integer(key.source().begin.line));
        json_object_set_new(keys, name.c_str(), sub);
    }
    *pos = position_of(t);
    json_object_set_new(*pos, "k", keys);
    return tree;
}

json_t *
convert_array(const toml::array &a, json_t **pos, int depth)
{
    json_t *tree = json_array();
    json_t *items = json_array();
    for (auto &&value : a) {
        json_t *sub = nullptr;
        json_array_append_new(tree, convert(value, &sub, depth + 1));
        json_array_append_new(items, sub);
    }
    *pos = position_of(a);
    json_object_set_new(*pos, "a", items);
    return tree;
}

json_t *
convert(const toml::node &n, json_t **pos, int depth)
{
    if (depth > max_depth) {
        throw std::runtime_error("nested too deeply");
    }
    if (auto *t = n.as_table()) {
        return convert_table(*t, pos, depth);
    }
    if (auto *a = n.as_array()) {
        return convert_array(*a, pos, depth);
    }
    *pos = position_of(n);
    if (auto *s = n.as_string()) {
        return json_stringn(s->get().data(), s->get().size());
    }
    if (auto *i = n.as_integer()) {
        return json_integer(i->get());
    }
    if (auto *d = n.as_floating_point()) {
        json_t *real = json_real(d->get());
        return real ? real : json_null();
    }
    if (auto *b = n.as_boolean()) {
        return json_boolean(b->get());
    }
    if (auto *d = n.as_date_time()) {
        return date_text(d->get());
    }
    if (auto *d = n.as_date()) {
        return date_text(d->get());
    }
    if (auto *d = n.as_time()) {
        return date_text(d->get());
    }
    return json_null();
}

} // namespace

extern "C" mg_rc
mg_toml_parse(mg_str text, const char *file, size_t text_max, mg_toml *out,
              mg_error *err)
{
    out->tree = nullptr;
    out->positions = nullptr;
    if (text.n > text_max) {
        return mg_fail(err, MG_E_TOO_LARGE, "%s: %zu bytes, the limit is %zu",
                       file, text.n, text_max);
    }
    try {
        toml::table t = toml::parse(std::string_view(text.p, text.n),
                                    std::string_view(file));
        out->tree = convert(t, &out->positions, 0);
        return MG_OK;
    } catch (const toml::parse_error &e) {
        return mg_fail(err, MG_E_INPUT, "%s:%u:%u: %s", file,
                       e.source().begin.line, e.source().begin.column,
                       std::string(e.description()).c_str());
    } catch (const std::exception &e) {
        return mg_fail(err, MG_E_INPUT, "%s: %s", file, e.what());
    }
}

extern "C" void
mg_toml_free(mg_toml *t)
{
    json_decref(t->tree);
    json_decref(t->positions);
    t->tree = nullptr;
    t->positions = nullptr;
}
