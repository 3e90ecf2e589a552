// The settings of bth-entry, read from JSON with comments.
//
//   { "host": "entry-east-mids-1-a",        // name of this host in the configuration
//     "failure_domain": "east-mids-1",      // failure domain of this host
//     "http": "127.11.1.1:8080",            // address for callers
//     "peer": "127.11.1.1:9080",            // address for other entry hosts
//     "seeds": [{"host": "entry-east-mids-1-b", "peer": "127.11.1.2:9080"}],
//     "data_folder": "/var/lib/bth-entry",  // stores the configuration, optional
//     "platform": "127.0.0.1:8200",         // address of the platform's list, optional
//     "admin": "127.11.1.1:8100",           // /metrics and /status, optional
//     "log": {"level": "INFO"} }
//
// With "text_file": "site.json" the host reads the configuration from that file instead of getting
// it from control. Its failure domain and addresses then come from the configuration.
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/finding.h"
#include "bth/shell/log.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace bth::entry {

// Limits on the resources that callers use.
struct caller_limits {
    // Of one request.
    std::uint32_t header_bytes{16 * 1024};
    std::uint64_t body_bytes{64ULL * 1024 * 1024};
    // Of all callers together.
    std::uint32_t connections{10'000};
    // The time limit of one wait on a connection: for the next request head, for more of its body,
    // or for a part of the response to be sent.
    std::chrono::milliseconds idle{30'000};
};

// An entry host to connect to before a configuration is known.
struct seed_host {
    std::string host;
    endpoint peer;
};

struct entry_settings {
    std::string host;
    // The file that holds the configuration; empty if the configuration comes from control.
    std::string text_file;
    // The failure domain of this host and the addresses that it listens at; only used without a
    // text file.
    std::string failure_domain;
    endpoint http;
    endpoint peer;
    std::vector<seed_host> seeds;
    std::vector<endpoint> control;
    std::string data_folder;
    std::optional<endpoint> platform;
    std::optional<endpoint> admin;
    // How often the targets' load and the platform's list are polled.
    std::chrono::milliseconds poll_interval{500};
    caller_limits limits;
    shell::log_settings log;
};

// Reads the settings from `text`. Returns every finding if there is any. `file` is the file name
// that findings show.
tl::expected<entry_settings, findings> read_settings(std::string file, std::string text);

} // namespace bth::entry
