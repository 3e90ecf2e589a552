// One revision of the configuration, with the lookup tables that serving a request needs.
//
//   const configuration_index configuration{model, revision{3}, "entry-a"};
//   auto service = configuration.find_service(host_field);
#pragma once

#include "bth/base/ids.h"
#include "bth/config/client_table.h"
#include "bth/config/model.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bth::entry {

class configuration_index {
public:
    configuration_index(std::shared_ptr<const config::model> model, revision number,
                        std::string_view host_name);

    const config::model& model() const { return *this->configuration_model; }
    std::shared_ptr<const config::model> shared_model() const { return this->configuration_model; }
    revision revision_number() const { return this->number; }

    // Finds the service of the value of a Host field. A port in it is ignored.
    std::optional<service_id> find_service(std::string_view host_field) const;
    // Returns the caller class that the key proves; the public class if the key is empty or
    // unknown.
    class_id class_for_key(std::string_view key) const;
    // Returns the failure domain of a caller, or this host's own if no client block contains the
    // caller's address.
    domain_id domain_of(ipv4_address caller) const;
    // Whether requests with this method may run more than once: the safe methods of HTTP, and those
    // that the configuration lists for the service.
    bool is_repeatable(service_id service, std::string_view method) const;

private:
    using sha256 = std::array<std::uint8_t, 32>;

    std::shared_ptr<const config::model> configuration_model;
    revision number;
    // The failure domain of this host.
    domain_id own_domain;
    config::client_table clients;
    std::map<std::string, service_id, std::less<>> services;
    // The SHA-256 digest of each class's key.
    std::vector<std::pair<sha256, class_id>> classes_by_key_hash;
};

} // namespace bth::entry
