#include "bth/route/customer_directory.h"

#include <algorithm>
#include <random>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace bth::route {

digest_secret make_digest_secret()
{
    digest_secret secret{};
    std::random_device source;
    std::uniform_int_distribution<unsigned> byte{0, UINT8_MAX};
    std::generate(secret.begin(), secret.end(),
                  [&] { return static_cast<std::uint8_t>(byte(source)); });
    return secret;
}

customer_directory::customer_directory(std::optional<std::vector<customer>> customers,
                                       const digest_secret& secret)
    : is_key_required{customers.has_value()}, secret{secret}
{
    if (!customers) {
        return;
    }
    for (auto& each : *customers) {
        auto keys = std::exchange(each.access_keys, {});
        auto held = std::make_shared<const customer>(std::move(each));
        for (auto& key : keys) {
            this->by_digest.emplace(this->digest_of(key), held);
            OPENSSL_cleanse(key.data(), key.size());
        }
        this->all.push_back(std::move(held));
    }
}

key_digest customer_directory::digest_of(std::string_view key) const
{
    key_digest digest{};
    HMAC(EVP_sha256(), this->secret.data(), static_cast<int>(this->secret.size()),
         reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data(), nullptr);
    return digest;
}

std::shared_ptr<const customer> customer_directory::find(const key_digest& digest) const
{
    const auto found = this->by_digest.find(digest);
    return found == this->by_digest.end() ? nullptr : found->second;
}

} // namespace bth::route
