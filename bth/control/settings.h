// The settings of bth-control, read from JSON with comments.
//
//   auto settings = read_control_settings("control.json", text);
//   if (!settings) { std::cerr << to_string(settings.error()); }
#pragma once

#include "bth/base/endpoint.h"
#include "bth/base/finding.h"
#include "bth/shell/log.h"

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace bth::control {

// One control host, as the settings of each control host name it.
struct control_member {
    std::string host;
    endpoint peer;
    endpoint http;
};

struct control_settings {
    // The name of this host; one of the members.
    std::string host;
    // The folder that holds all state that must survive.
    std::string data_folder;
    // Where operators connect.
    endpoint http;
    // Where the other processes of the system connect.
    endpoint peer;
    // All control hosts, this one included.
    std::vector<control_member> members;
    // How many edit ids are kept with their answers.
    std::uint32_t ids_kept{10'000};
    shell::log_settings log;
};

tl::expected<control_settings, findings> read_control_settings(std::string file, std::string text);

} // namespace bth::control
