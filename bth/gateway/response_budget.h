// Bounds the memory of the responses that are being read from targets. A target may send a body
// without end, and several may do so at once.
//
//   response_budget budget;
//   response_budget::share held{budget};
//   if (!held.grow_to(body.size())) { close(); }
#pragma once

#include <cstddef>

namespace bth::gateway {

class response_budget {
public:
    // The bytes of all responses together above which the large ones are given up, and the size up
    // to which a response is never given up for the sake of others.
    static constexpr std::size_t max_total = 32UL * 1024 * 1024;
    static constexpr std::size_t guaranteed = 1024UL * 1024;

    // The bytes of one response, released with it.
    class share {
    public:
        explicit share(response_budget& from) : budget{&from} {}
        ~share() { this->budget->total -= this->bytes; }
        share(const share&) = delete;
        share& operator=(const share&) = delete;
        share(share&&) = delete;
        share& operator=(share&&) = delete;

        // Records that the response has `size` bytes by now. Returns whether it may be read on.
        bool grow_to(std::size_t size)
        {
            this->budget->total += size - this->bytes;
            this->bytes = size;
            return size <= guaranteed || this->budget->total <= max_total;
        }

    private:
        response_budget* budget;
        std::size_t bytes{};
    };

    // Returns the bytes of all responses that are being read.
    std::size_t bytes() const { return this->total; }

private:
    std::size_t total{};
};

} // namespace bth::gateway
