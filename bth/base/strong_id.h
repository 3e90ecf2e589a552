// Integers that name one kind of thing and can't be mixed with another kind.
//
//   using host_id = bth::strong_id<struct host_tag, std::uint16_t>;
//   host_id first{0};
//   table.at(first.index());
#pragma once

#include <compare>
#include <concepts>
#include <cstddef>
#include <functional>

namespace bth {

// An identifier of the kind `Tag`. Values are compared and hashed; there is no arithmetic. Ids that
// name rows of a table count from 0.
template <class Tag, std::unsigned_integral Rep>
class strong_id {
public:
    using rep = Rep;

    constexpr strong_id() = default;
    constexpr explicit strong_id(Rep value) : stored{value} {}

    // The id of the row `index` of a table. The caller makes sure that it fits.
    static constexpr strong_id from_index(std::size_t index)
    {
        return strong_id{static_cast<Rep>(index)};
    }

    constexpr Rep value() const { return this->stored; }
    constexpr std::size_t index() const { return static_cast<std::size_t>(this->stored); }

    friend constexpr auto operator<=>(const strong_id&, const strong_id&) = default;

private:
    Rep stored{};
};

} // namespace bth

template <class Tag, class Rep>
struct std::hash<bth::strong_id<Tag, Rep>> {
    std::size_t operator()(const bth::strong_id<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};
