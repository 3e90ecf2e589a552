// Quantities with their unit in the type.
//
//   request_rate cap{250.0};            // requests per second
//   link_rate link = link_rate::from_megabits_per_second(300);
#pragma once

#include <compare>
#include <cstdint>

namespace bth {

// A quantity of the unit `Tag`, held as a double. Sums, differences and scaling keep the unit.
template <class Tag>
class quantity {
public:
    constexpr quantity() = default;
    constexpr explicit quantity(double value) : stored{value} {}

    constexpr double value() const { return this->stored; }

    friend constexpr auto operator<=>(const quantity&, const quantity&) = default;
    friend constexpr quantity operator+(quantity a, quantity b)
    {
        return quantity{a.stored + b.stored};
    }
    friend constexpr quantity operator-(quantity a, quantity b)
    {
        return quantity{a.stored - b.stored};
    }
    friend constexpr quantity operator*(quantity a, double factor)
    {
        return quantity{a.stored * factor};
    }
    friend constexpr quantity operator/(quantity a, double divisor)
    {
        return quantity{a.stored / divisor};
    }
    // The ratio of two quantities of one unit; the caller makes sure that `b` isn't zero.
    friend constexpr double operator/(quantity a, quantity b) { return a.stored / b.stored; }
    constexpr quantity& operator+=(quantity other)
    {
        this->stored += other.stored;
        return *this;
    }
    constexpr quantity& operator-=(quantity other)
    {
        this->stored -= other.stored;
        return *this;
    }

private:
    double stored{};
};

// Requests per second.
using request_rate = quantity<struct request_rate_tag>;

// Bytes per second on a link, in one direction.
using link_rate = quantity<struct link_rate_tag>;

// A part of a whole, from 0 to 1.
using share = quantity<struct share_tag>;

constexpr link_rate megabits_per_second(double megabits)
{
    constexpr double bytes_per_megabit = 125'000.0;
    return link_rate{megabits * bytes_per_megabit};
}

// A number of bytes.
using byte_count = std::uint64_t;

} // namespace bth
