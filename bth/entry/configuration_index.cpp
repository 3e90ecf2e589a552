#include "bth/entry/configuration_index.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <openssl/sha.h>

namespace bth::entry {

namespace {

constexpr std::array<std::string_view, 4> safe_methods{"GET", "HEAD", "OPTIONS", "TRACE"};

std::array<std::uint8_t, 32> parse_hex_digest(std::string_view text)
{
    std::array<std::uint8_t, 32> out{};
    constexpr int base = 16;
    for (std::size_t i = 0; i < out.size() && 2 * i + 2 <= text.size(); ++i) {
        std::from_chars(text.data() + 2 * i, text.data() + 2 * i + 2, out.at(i), base);
    }
    return out;
}

} // namespace

configuration_index::configuration_index(std::shared_ptr<const config::model> model,
                                         revision number, std::string_view host_name)
    : configuration_model{std::move(model)}, number{number},
      clients{this->configuration_model->client_blocks}
{
    if (const auto host = config::find_host(*this->configuration_model, host_name)) {
        this->own_domain = this->configuration_model->at(*host).domain;
    }
    for (std::size_t i = 0; i < this->configuration_model->services.size(); ++i) {
        this->services.emplace(this->configuration_model->services.at(i).name,
                               service_id::from_index(i));
    }
    for (std::size_t i = 0; i < this->configuration_model->classes.size(); ++i) {
        const config::caller_class& caller_class = this->configuration_model->classes.at(i);
        if (!caller_class.key_sha256.empty()) {
            this->classes_by_key_hash.emplace_back(parse_hex_digest(caller_class.key_sha256),
                                                   class_id::from_index(i));
        }
    }
}

std::optional<service_id> configuration_index::find_service(std::string_view host_field) const
{
    const auto found = this->services.find(host_field.substr(0, host_field.find(':')));
    if (found == this->services.end()) {
        return std::nullopt;
    }
    return found->second;
}

class_id configuration_index::class_for_key(std::string_view key) const
{
    if (key.empty()) {
        return this->configuration_model->public_class;
    }
    sha256 digest{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    const auto found =
        std::find_if(this->classes_by_key_hash.begin(), this->classes_by_key_hash.end(),
                     [&](const auto& key_class) { return key_class.first == digest; });
    return found == this->classes_by_key_hash.end() ? this->configuration_model->public_class
                                                    : found->second;
}

domain_id configuration_index::domain_of(ipv4_address caller) const
{
    return this->clients.find(caller).value_or(this->own_domain);
}

bool configuration_index::is_repeatable(service_id service, std::string_view method) const
{
    const auto& repeatable_methods = this->configuration_model->at(service).repeatable_methods;
    return std::find(safe_methods.begin(), safe_methods.end(), method) != safe_methods.end() ||
           std::find(repeatable_methods.begin(), repeatable_methods.end(), method) !=
               repeatable_methods.end();
}

} // namespace bth::entry
