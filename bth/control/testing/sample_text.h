// A small valid text for the tests of edits.
#pragma once

#include <string>

namespace bth::control::testing {

// One failure domain with the targets t1 and t2, whose slots are given.
inline std::string sample_text(int slots)
{
    const std::string count = std::to_string(slots);
    return R"({
  // One region with one failure domain.
  "regions": [{"name": "r", "cap": {"requests_per_second": 100, "in_flight": 10}}],
  "failure_domains": [{"name": "d", "region": "r",
                       "cap": {"requests_per_second": 100, "in_flight": 10}}],
  "hosts": [{"name": "e", "failure_domain": "d", "http": "127.0.0.1:1", "peer": "127.0.0.1:2"}],
  "caller_classes": [{"name": "public"}],
  "services": [{"name": "s", "priority": {"public": 3}, "request_bytes": 1, "answer_bytes": 1,
                "service_time_us": 1000}],
  "targets": [
    {"name": "t1", "service": "s", "failure_domain": "d", "http": "127.0.0.1:3",
     "slots": )" +
           count +
           R"(, "connections": 330},
    {"name": "t2", "service": "s", "failure_domain": "d", "http": "127.0.0.1:4",
     "slots": )" +
           count +
           R"(, "connections": 330}
  ],
  "client_blocks": [{"block": "127.0.0.0/8", "failure_domain": "d"}]
}
)";
}

} // namespace bth::control::testing
