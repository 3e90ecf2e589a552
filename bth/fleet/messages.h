// What hosts of one fleet tell each other: entry hosts report to a control host, which answers with
// updates; control hosts relay to each other which entry hosts they serve and what the platform's
// list shows. Nothing depends on a single message: each is repeated, and later ones replace earlier
// ones.
//
//   auto bytes = encode(report{...});
//   if (auto got = decode(bytes)) { std::visit(handler, *got); }
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/ids.h"
#include "bth/base/time.h"
#include "bth/dispatch/target.h"
#include "bth/route/model.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bth::fleet {

// How many changes the control hosts have agreed on; later states have a larger one.
using agreed_index = strong_id<struct agreed_index_tag, std::uint64_t>;

// A revision of the target catalog of one control host, valid during that host's life.
using catalog_revision = strong_id<struct catalog_revision_tag, std::uint64_t>;

struct entry_host {
    std::string name;
    // Where it takes callers.
    endpoint where;
    std::string domain;
    bool ready{};
    // How long ago it was heard.
    duration age{};
    friend bool operator==(const entry_host&, const entry_host&) = default;
};

struct control_peer {
    std::string name;
    std::string domain;
    friend auto operator<=>(const control_peer&, const control_peer&) = default;
};

// An entry host's state, with what it holds already.
struct report {
    entry_host host;
    route::config_version version;
    agreed_index index;
    catalog_revision targets;
    // The life of the control host that `targets` counts for.
    incarnation serving_life;
};

// Changes of a catalog since a revision, or all of it.
struct catalog_delta {
    bool whole{};
    catalog_revision revision;
    std::vector<dispatch::target_facts> changed;
    std::vector<std::string> removed;
    friend bool operator==(const catalog_delta&, const catalog_delta&) = default;
};

// What an entry host needs to know, as far as it is new to it.
struct update {
    incarnation life;
    // Whether the control host is in contact with the others.
    bool in_contact{};
    route::config_version version;
    agreed_index index;
    // The configuration, unless the entry host has it.
    std::string text;
    std::optional<std::set<std::string>> evacuated;
    catalog_delta targets;
    std::vector<control_peer> control_hosts;
    // The entry hosts in service, and the place of this one among them by name.
    std::uint32_t entry_count{};
    std::uint32_t entry_rank{};
    // The entry hosts of the region of this one, unless it has been told.
    std::optional<std::vector<entry_host>> entry_hosts;
};

// What one control host tells the others.
struct relay {
    control_peer host;
    // The entry hosts that it serves.
    std::vector<entry_host> entry_hosts;
    // How old its reading of the platform's list is, and what it read.
    duration list_age{};
    std::uint64_t list_digest{};
    std::optional<std::vector<dispatch::target_facts>> list;
};

// A change for the control hosts to agree on.
struct set_configuration {
    route::config_version version;
    std::string text;
};
struct set_evacuation {
    std::string domain;
    bool evacuated{};
};

// All that the control hosts agree on.
struct agreed_contents {
    route::config_version version;
    std::string text;
    std::set<std::string> evacuated;
    agreed_index index;
    friend bool operator==(const agreed_contents&, const agreed_contents&) = default;
};

using message =
    std::variant<report, update, relay, set_configuration, set_evacuation, agreed_contents>;

std::string encode(const message& what);

// Nothing if the bytes aren't well formed.
std::optional<message> decode(std::string_view bytes);

} // namespace bth::fleet
