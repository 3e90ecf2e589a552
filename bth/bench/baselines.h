// Simple deciders that the steering core is measured against. All are models of `decider`.
//
// - nearest_first: the caller's own failure domain, its targets in turn, no limits; another domain
//   only when the platform's list has no live target at home.
// - central_proportional: one central decider spreads each service over all domains in proportion
//   to the free slots that targets reported; it computes the parts anew each second.
// - random_of_two: of two targets taken at random from all domains, the one with fewer requests
//   outstanding from this host.
#pragma once

#include "bth/bench/decider.h"
#include "bth/bench/fake_target.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace bth::bench {

// What every simple decider does alike: keep the model and the platform's list, and refuse what
// failed.
class plain_host {
public:
    explicit plain_host(const host_setup& given) : setup{given}, random{given.seed} {}

    steering::actions apply(std::shared_ptr<const config::model> next, revision number,
                            clock_reading now);
    steering::actions finished(const steering::attempt_result& result, time_point now);
    steering::actions receive(host_id from, const steering::peer_message& message, time_point now);
    steering::actions peer_lost(host_id peer, time_point now);
    steering::actions report(const steering::load_report& report, time_point now);
    steering::actions platform(const steering::platform_list& list, time_point now);
    steering::actions tick(clock_reading now);
    steering::lookup_answer lookup(const steering::lookup_query& query, time_point now);

protected:
    domain_id own() const { return this->model->at(this->setup.host).domain; }
    // The live targets of a service in one domain, or in all.
    std::vector<target_id> targets_of(service_id service, std::optional<domain_id> domain) const;
    std::optional<host_id> host_in(domain_id domain) const;
    steering::actions send(const steering::arrival& request, target_id target);
    steering::actions forward(const steering::arrival& request, domain_id domain) const;
    static steering::actions refuse(const steering::arrival& request, refusal_reason reason);
    std::size_t pick(std::size_t count);

    host_setup setup;
    std::mt19937_64 random;
    std::shared_ptr<const config::model> model;
    std::vector<bool> live;
    // Requests at each target from this host.
    std::vector<std::uint32_t> outstanding;
    std::map<request_id, target_id> sent;
};

class nearest_first : public plain_host {
public:
    using plain_host::plain_host;
    steering::actions arrive(const steering::arrival& request, time_point now);

private:
    std::size_t turn{};
};

// What the central decider knows and orders; the hosts share it.
struct central_state {
    // In flight and slots of each target, by its last report.
    std::vector<steering::load_report> reports;
    // The part of each domain, by service.
    std::vector<std::vector<double>> parts;
    time_point next_round;
};

class central_proportional : public plain_host {
public:
    central_proportional(const host_setup& given, std::shared_ptr<central_state> shared);
    steering::actions apply(std::shared_ptr<const config::model> next, revision number,
                            clock_reading now);
    steering::actions arrive(const steering::arrival& request, time_point now);
    steering::actions report(const steering::load_report& report, time_point now);
    steering::actions tick(clock_reading now);

private:
    void compute_parts();
    std::shared_ptr<central_state> central;
};

class random_of_two : public plain_host {
public:
    using plain_host::plain_host;
    steering::actions arrive(const steering::arrival& request, time_point now);
};

} // namespace bth::bench
