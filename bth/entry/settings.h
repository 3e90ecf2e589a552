// The settings of bth-entry, read from JSON with comments.
//
//   { "host": "entry-east-mids-1-a",        // name of this host in the operators' text
//     "failure_domain": "east-mids-1",      // where it stands
//     "http": "127.11.1.1:8080",            // where callers connect
//     "peer": "127.11.1.1:9080",            // where the other hosts connect
//     "seeds": [{"host": "entry-east-mids-1-b", "peer": "127.11.1.2:9080"}],
//     "data_folder": "/var/lib/bth-entry",  // keeps the configuration, optional
//     "platform": "127.0.0.1:8200",         // the platform's list, optional
//     "admin": "127.11.1.1:8100",           // /metrics and /status, optional
//     "log": {"level": "INFO"} }
//
// With "text_file": "site.json" the host takes the operators' text from that file in place of
// control, and its place and addresses from the text.
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

// What one caller, and all of them together, may take of the process.
struct caller_limits {
    std::uint32_t header_bytes{16 * 1024};
    std::uint64_t body_bytes{64ULL * 1024 * 1024};
    std::uint32_t connections{10'000};
    // How long a connection may stay without a byte.
    std::chrono::milliseconds idle{30'000};
};

// A host to ask for the configuration before any is known.
struct seed_host {
    std::string host;
    endpoint peer;
};

struct entry_settings {
    std::string host;
    // The operators' text; empty if it comes from control.
    std::string text_file;
    // Where this host stands and listens; only used without a text file.
    std::string failure_domain;
    endpoint http;
    endpoint peer;
    std::vector<seed_host> seeds;
    std::vector<endpoint> control;
    std::string data_folder;
    std::optional<endpoint> platform;
    std::optional<endpoint> admin;
    // How often targets and the platform are asked.
    std::chrono::milliseconds poll_interval{500};
    caller_limits limits;
    shell::log_settings log;
};

// The settings, or every finding in the text. `file` names the text in findings.
tl::expected<entry_settings, findings> read_settings(std::string file, std::string text);

} // namespace bth::entry
