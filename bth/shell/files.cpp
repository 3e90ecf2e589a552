#include "bth/shell/files.h"

#include <cerrno>
#include <fstream>
#include <iterator>
#include <system_error>

namespace bth::shell {

tl::expected<std::string, std::string> read_file(const std::string& path)
{
    std::ifstream in{path, std::ios::binary};
    if (!in) {
        return tl::unexpected{"can't read \"" + path +
                              "\": " + std::generic_category().message(errno)};
    }
    std::string text{std::istreambuf_iterator<char>{in}, std::istreambuf_iterator<char>{}};
    if (in.bad()) {
        return tl::unexpected{"can't read \"" + path + "\": the read broke off"};
    }
    return text;
}

} // namespace bth::shell
