// The names of the header fields that the request path reads and writes. Each platform has its own.
//
//   field_names names{.request_id = "X-Request-Id", ...};
#pragma once

#include <string>

namespace bth::gateway {

struct field_names {
    // The caller's name for one attempt; targets repeat it in the answer.
    std::string request_id;
    // How many milliseconds the sender will wait.
    std::string time_left_ms;
    // The object that the request concerns.
    std::string object;
    // To a target: who it must be to run the request.
    std::string expected_target;
    // From a target: who it is.
    std::string target_id;
    // From a target: it did not run the request.
    std::string not_run;
    // From a target: proof that the answer is its own.
    std::string receipt;
    // From a target: running, waiting and slots, separated by commas.
    std::string load;
};

} // namespace bth::gateway
