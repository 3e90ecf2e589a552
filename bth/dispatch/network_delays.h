// The round-trip times between this host and the failure domains of the targets, as measured when
// connections are opened.
//
//   network_delays delays;
//   delays.record_connect(domain, took);
//   const auto round_trip = delays.round_trip(domain, distance);
//   connect(address, delays.connect_timeout(domain, distance));
//
// Deployments differ: hosts of a region may be 0.4 or 3 ms apart, and regions 40 or 200 ms.
// Requests placed by wrong times go to another region although they come back late from there, or
// wait at home although another region would answer in time.
#pragma once

#include "bth/base/time.h"
#include "bth/dispatch/target.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace bth::dispatch {

// Where a target is, as seen from this host.
enum class distance : std::uint8_t { own_domain, own_region, other_region };

constexpr distance distance_between(std::string_view own_domain, std::string_view own_region,
                                    std::string_view domain, std::string_view region)
{
    if (domain == own_domain) {
        return distance::own_domain;
    }
    return region == own_region ? distance::own_region : distance::other_region;
}

class network_delays {
public:
    // Records how long it took to open a connection to a target in the domain: one round trip, and
    // possibly a time that the target or this host was busy.
    void record_connect(std::string_view domain, fractional_ms took)
    {
        auto& row = this->row_of(domain);
        row.timeouts = 0;
        if (took <= fast_connect) {
            this->timeouts_in_a_row = 0;
        }
        // Follows shorter times at once and longer ones slowly: what is longer than a round trip is
        // mostly due to a busy host.
        constexpr double growth = 0.05;
        const bool is_shorter = row.round_trip == fractional_ms{} || took < row.round_trip;
        row.round_trip = is_shorter ? took : row.round_trip + (took - row.round_trip) * growth;
    }

    // Records that a connection to a target in the domain was not opened in time.
    void record_timeout(std::string_view domain)
    {
        auto& row = this->row_of(domain);
        row.timeouts = std::min(row.timeouts + 1, max_doublings);
        ++this->timeouts_in_a_row;
    }

    // Returns the time that a request and its response spend in the network. Before the first
    // measurement, one that is usual for the distance.
    fractional_ms round_trip(std::string_view domain, distance from_here) const
    {
        const auto found = this->rows.find(domain);
        if (found != this->rows.end() && found->second.round_trip > fractional_ms{}) {
            return found->second.round_trip;
        }
        constexpr fractional_ms usual_in_domain{0.5};
        constexpr fractional_ms usual_in_region{2.0};
        constexpr fractional_ms usual_between_regions{42.0};
        return from_here == distance::own_domain   ? usual_in_domain
               : from_here == distance::own_region ? usual_in_region
                                                   : usual_between_regions;
    }

    // Returns how long to wait for a connection. A lost SYN is sent again only after one second, so
    // trying another target is faster than waiting longer than a connection usually takes. While
    // nothing is known of a domain, each timeout doubles the time: it may be farther than usual.
    //
    // Timeouts in a row, whatever the domain, double it too: the queue on this host's own link may
    // be longer than that, as after the loss of hosts whose callers come here. Then giving up early
    // fails all connections, and a host that can still serve some requests seems to be cut off.
    // Where targets or a domain are lost, other connections are opened fast in between.
    fractional_ms connect_timeout(std::string_view domain, distance from_here) const
    {
        constexpr fractional_ms least_in_region{80.0};
        constexpr fractional_ms least_between_regions{200.0};
        constexpr fractional_ms longest{1000.0};
        constexpr double round_trips = 4.0;
        const auto least =
            (from_here == distance::other_region ? least_between_regions : least_in_region) *
            static_cast<double>(1U << this->congestion_doublings());
        const auto found = this->rows.find(domain);
        if (found != this->rows.end() && found->second.round_trip == fractional_ms{}) {
            return std::min(least * static_cast<double>(1U << found->second.timeouts), longest);
        }
        return std::clamp(this->round_trip(domain, from_here) * round_trips, least, longest);
    }

private:
    static constexpr unsigned max_doublings = 4;
    // So many timeouts in a row double the time for a connection; to 640 ms in the own region.
    static constexpr unsigned timeouts_per_doubling = 3;
    static constexpr unsigned max_congestion_doublings = 3;
    // A connection that is opened within this time didn't wait in a queue for long, wherever it
    // goes.
    static constexpr fractional_ms fast_connect{60.0};

    unsigned congestion_doublings() const
    {
        return std::min(this->timeouts_in_a_row / timeouts_per_doubling, max_congestion_doublings);
    }

    struct row {
        // 0 before the first measurement.
        fractional_ms round_trip{};
        // Timeouts since the last connection was opened.
        unsigned timeouts{};
    };

    row& row_of(std::string_view domain)
    {
        const auto found = this->rows.find(domain);
        return found != this->rows.end()
                   ? found->second
                   : this->rows.emplace(std::string{domain}, row{}).first->second;
    }

    // Timeouts since a connection was opened fast.
    unsigned timeouts_in_a_row{};
    std::map<std::string, row, std::less<>> rows;
};

} // namespace bth::dispatch
