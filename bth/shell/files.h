// Reads whole files, with errors as text.
//
//   auto text = read_file("site.json");
//   if (!text) { std::cerr << text.error(); }
#pragma once

#include <string>

#include <tl/expected.hpp>

namespace bth::shell {

// The contents of the file, or one sentence that names the file and the system's error.
tl::expected<std::string, std::string> read_file(const std::string& path);

} // namespace bth::shell
