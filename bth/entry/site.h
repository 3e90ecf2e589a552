// The configuration in force, with the indexes that each request needs.
//
//   auto site = std::make_shared<const site_index>(model, revision{3}, "entry-a");
//   auto service = site->service_named(host_field);
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

class site_index {
public:
    site_index(std::shared_ptr<const config::model> model, revision number,
               std::string_view host_name);

    const config::model& model() const { return *this->rows; }
    std::shared_ptr<const config::model> shared_model() const { return this->rows; }
    revision number() const { return this->configuration; }

    // The service of a Host field, whose port is passed over.
    std::optional<service_id> service_named(std::string_view host_field) const;
    // The class that the key proves; the public class for no key and for one that is unknown.
    class_id class_proved_by(std::string_view key) const;
    // The failure domain of a caller; that of this host if no client block contains the address.
    domain_id home_of(ipv4_address caller) const;
    // Whether a method may be repeated for a service.
    bool is_repeatable(service_id service, std::string_view method) const;

private:
    using sha256 = std::array<std::uint8_t, 32>;

    std::shared_ptr<const config::model> rows;
    revision configuration;
    domain_id own_domain;
    config::client_table clients;
    std::map<std::string, service_id, std::less<>> services;
    std::vector<std::pair<sha256, class_id>> keys;
};

} // namespace bth::entry
