// The allowances of a configuration's customers, for the parts that keep them.
#pragma once

#include "bth/dispatch/allowance.h"
#include "bth/route/model.h"

#include <vector>

namespace bth::fleet {

// Returns the limits of the customers that have one. `Customers` is a range of customers or of
// pointers to them.
template <class Customers>
std::vector<dispatch::customer_limit> limits_of(const Customers& customers)
{
    const auto customer_of = [](const auto& each) -> const route::customer& {
        if constexpr (requires { *each; }) {
            return *each;
        }
        else {
            return each;
        }
    };
    std::vector<dispatch::customer_limit> out;
    for (const auto& each : customers) {
        const auto& customer = customer_of(each);
        if (customer.rate > 0) {
            out.push_back(
                {dispatch::make_customer_key(customer.name), customer.rate, customer.burst});
        }
    }
    return out;
}

} // namespace bth::fleet
