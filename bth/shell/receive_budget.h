// Bounds the memory of messages that are being received. A sender may send a message without end,
// and many may do so at once.
//
//   receive_budget budget{limits};
//   receive_budget::share held{budget};
//   if (!held.grow_to(body.size())) { close(); }
//
// While there is little room, the large messages are given up as they grow; while there is none,
// those that are larger than an equal part of it. A small message is never given up for the sake of
// others.
#pragma once

#include <cstddef>

namespace bth::shell {

struct receive_limits {
    // The bytes of all messages together up to which each of them may grow.
    std::size_t shared{32UL * 1024 * 1024};
    // The bytes of all messages together up to which one of `guaranteed` bytes may grow.
    std::size_t total{64UL * 1024 * 1024};
    std::size_t guaranteed{1024UL * 1024};
};

class receive_budget {
public:
    // The size up to which a message is never given up.
    static constexpr std::size_t small = 16UL * 1024;

    receive_budget() = default;
    explicit receive_budget(const receive_limits& limits) : bounds{limits} {}

    // The bytes of one message, released with it.
    class share {
    public:
        explicit share(receive_budget& from) : budget{&from} {}
        ~share() { this->record(0); }
        share(const share&) = delete;
        share& operator=(const share&) = delete;
        share(share&&) = delete;
        share& operator=(share&&) = delete;

        // Records that the message has `size` bytes by now. Returns whether it may be read on.
        bool grow_to(std::size_t size)
        {
            this->record(size);
            return this->budget->may_hold(size);
        }

    private:
        void record(std::size_t size)
        {
            this->budget->held += size - this->bytes;
            this->budget->large_messages += static_cast<std::size_t>(size > small);
            this->budget->large_messages -= static_cast<std::size_t>(this->bytes > small);
            this->bytes = size;
        }

        receive_budget* budget;
        std::size_t bytes{};
    };

    const receive_limits& limits() const { return this->bounds; }
    // Returns the bytes of all messages that are being received.
    std::size_t bytes() const { return this->held; }

private:
    bool may_hold(std::size_t size) const
    {
        if (size <= small || this->held <= this->bounds.shared) {
            return true;
        }
        return this->held <= this->bounds.total ? size <= this->bounds.guaranteed
                                                : size <= this->bounds.total / this->large_messages;
    }

    receive_limits bounds;
    std::size_t held{};
    std::size_t large_messages{};
};

} // namespace bth::shell
