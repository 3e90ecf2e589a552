#include "bth/entry/site.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <openssl/sha.h>

namespace bth::entry {

namespace {

constexpr std::array<std::string_view, 4> safe_methods{"GET", "HEAD", "OPTIONS", "TRACE"};

std::array<std::uint8_t, 32> from_hex(std::string_view text)
{
    std::array<std::uint8_t, 32> out{};
    constexpr int base = 16;
    for (std::size_t i = 0; i < out.size() && 2 * i + 2 <= text.size(); ++i) {
        std::from_chars(text.data() + 2 * i, text.data() + 2 * i + 2, out.at(i), base);
    }
    return out;
}

} // namespace

site_index::site_index(std::shared_ptr<const config::model> model, revision number,
                       std::string_view host_name)
    : rows{std::move(model)}, configuration{number}, clients{this->rows->client_blocks}
{
    if (const auto host = config::find_host(*this->rows, host_name)) {
        this->own_domain = this->rows->at(*host).domain;
    }
    for (std::size_t i = 0; i < this->rows->services.size(); ++i) {
        this->services.emplace(this->rows->services.at(i).name, service_id::from_index(i));
    }
    for (std::size_t i = 0; i < this->rows->classes.size(); ++i) {
        const config::caller_class& row = this->rows->classes.at(i);
        if (!row.key_sha256.empty()) {
            this->keys.emplace_back(from_hex(row.key_sha256), class_id::from_index(i));
        }
    }
}

std::optional<service_id> site_index::service_named(std::string_view host_field) const
{
    const auto found = this->services.find(host_field.substr(0, host_field.find(':')));
    if (found == this->services.end()) {
        return std::nullopt;
    }
    return found->second;
}

class_id site_index::class_proved_by(std::string_view key) const
{
    if (key.empty()) {
        return this->rows->public_class;
    }
    sha256 digest{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    const auto found = std::find_if(this->keys.begin(), this->keys.end(),
                                    [&](const auto& row) { return row.first == digest; });
    return found == this->keys.end() ? this->rows->public_class : found->second;
}

domain_id site_index::home_of(ipv4_address caller) const
{
    return this->clients.find(caller).value_or(this->own_domain);
}

bool site_index::is_repeatable(service_id service, std::string_view method) const
{
    const auto& more = this->rows->at(service).repeatable_methods;
    return std::find(safe_methods.begin(), safe_methods.end(), method) != safe_methods.end() ||
           std::find(more.begin(), more.end(), method) != more.end();
}

} // namespace bth::entry
