// Names of the HTTP header fields that the gateway reads and writes; each platform defines its
// own.
//
//   field_names names{.request_id = "X-Request-Id", ...};
#pragma once

#include <string>

namespace bth::gateway {

struct field_names {
    // Identifies one attempt of the caller; targets repeat it in the response.
    std::string request_id;
    // The time for which the sender waits for a response, in milliseconds.
    std::string remaining_time_ms;
    // The object that the request concerns; requests for it favour the same target (affinity).
    std::string object;
    // In requests to a target: the id of the target that is to run the request.
    std::string expected_target;
    // In responses: the id of the target.
    std::string target_id;
    // In responses: present if the target did not run the request.
    std::string not_run;
    // In responses: proof that the response comes from the target itself.
    std::string receipt;
    // In responses: the numbers of running requests, waiting requests and slots, separated by
    // commas.
    std::string load;
    // In responses: "1" if the target leaves.
    std::string leaving;
    // The scheme of the Authorization field of callers, followed by their key.
    std::string key_scheme;
    // In requests to a target: the name of the customer that sends the request.
    std::string customer;
    // In responses: the requests per second that the target accepts from all hosts together.
    std::string limit;
};

} // namespace bth::gateway
