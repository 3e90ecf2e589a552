// Calls the control hosts in turn until one gives an answer that counts.
//
//   control_client client{endpoints, std::chrono::seconds{10}};
//   call_result result = client.submit(one);
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/time.h"
#include "bth/control/edit.h"
#include "bth/shell/simple_http.h"

#include <limits>
#include <optional>
#include <string>
#include <vector>

#include <boost/beast/http/verb.hpp>

namespace bth::ctl {

// One try that gave no answer that counts.
struct failed_try {
    endpoint where;
    std::string message;
};

struct call_result {
    // The answer that counts; nothing if no host gave one.
    std::optional<shell::http_response> response;
    // Whether some try may have had an effect although its answer didn't come.
    bool unknown{};
    std::vector<failed_try> failed;
};

// All calls block until they are done. A call goes round the endpoints again until the time limit
// has passed or it went round `most_rounds` times.
class control_client {
public:
    control_client(std::vector<endpoint> endpoints, duration limit,
                   unsigned most_rounds = std::numeric_limits<unsigned>::max())
        : endpoints{std::move(endpoints)}, limit{limit}, most_rounds{most_rounds}
    {}

    // Sends the edit until a host says what became of it. Resending is safe: the hosts know the
    // edit by its id.
    call_result submit(const control::edit& one) const;

    call_result get(const std::string& path) const;

private:
    call_result call(const shell::http_request& request) const;

    std::vector<endpoint> endpoints;
    duration limit;
    unsigned most_rounds;
};

} // namespace bth::ctl
