// What a load run counted: answers, refusals and latency by caller class.
//
//   load_tally tally;
//   tally.add({"steward", call_outcome::served, std::chrono::milliseconds{3}, ""});
//   std::cout << tally.to_text();
#pragma once

#include "bth/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bth::standins {

enum class call_outcome : std::uint8_t {
    served,          // The complete answer to this very request.
    refused_not_run, // A refusal that says that the request did not run.
    refused_unknown, // A refusal that says that it may have run.
    target_error,    // An error status of the target itself.
    failed,          // No complete answer: a connection broke or time ran out.
    wrong_answer,    // A complete answer, but to another request.
};
inline constexpr std::size_t call_outcome_count = 6;

std::string to_string(call_outcome outcome);

struct call_record {
    std::string caller_class;
    call_outcome outcome{call_outcome::served};
    duration latency{};
    // The reason that a refusal gave, or what failed.
    std::string reason;
};

class load_tally {
public:
    void add(const call_record& record);

    std::uint64_t count(call_outcome outcome) const;
    // The latency below which the given share of served requests of all classes lies.
    duration latency_at(double part) const;

    // A table for people, and the same figures as JSON.
    std::string to_text() const;
    std::string to_json() const;

private:
    struct class_row {
        std::map<call_outcome, std::uint64_t> outcomes;
        std::vector<duration> served_latencies;
    };

    std::map<std::string, class_row> classes;
    std::map<std::string, std::uint64_t> reasons;
};

} // namespace bth::standins
