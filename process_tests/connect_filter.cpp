// Replaces connect() in an entry host's program that is built for tests: BTH_CONNECT_FILTER names a
// file with a line "refuse", "hang ADDRESS:PORT" or "delay MILLISECONDS", followed by the endpoints
// that this concerns. A connection that is to hang goes to ADDRESS:PORT instead, where nobody
// accepts it. With "delay" the process stands still before it connects. Without the file all
// connections are made as usual. BTH_CONNECT_FROM is the address that they come from; without it
// the kernel picks one, on loopback the same one for all programs.
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

int connect_as_usual(int socket, const sockaddr* address, socklen_t length)
{
    return static_cast<int>(::syscall(SYS_connect, socket, address, length));
}

std::string text_of(const sockaddr_in& address)
{
    char host[INET_ADDRSTRLEN]{};
    inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
    return std::string{host} + ":" + std::to_string(ntohs(address.sin_port));
}

sockaddr_in parse(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    return out;
}

// Whether the socket has the address of BTH_CONNECT_FROM, or none is asked for. If not, errno tells
// why.
bool bind_source(int socket)
{
    const char* host = std::getenv("BTH_CONNECT_FROM");
    if (host == nullptr) {
        return true;
    }
    // The port is picked by connect(), so that ports don't run out sooner than without an address.
    const int late_port = 1;
    const auto source = parse(std::string{host} + ":0");
    return ::setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &late_port,
                        sizeof late_port) == 0 &&
           ::bind(socket, reinterpret_cast<const sockaddr*>(&source), sizeof source) == 0;
}

} // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t length)
{
    if (address->sa_family == AF_INET && !bind_source(socket)) {
        return -1;
    }
    const char* path = std::getenv("BTH_CONNECT_FILTER");
    if (path == nullptr || address->sa_family != AF_INET) {
        return connect_as_usual(socket, address, length);
    }
    std::ifstream filter{path};
    std::string mode;
    std::string silent_endpoint;
    int delay_ms = 0;
    filter >> mode;
    if (mode == "hang") {
        filter >> silent_endpoint;
    }
    if (mode == "delay") {
        filter >> delay_ms;
    }
    const auto wanted = text_of(*reinterpret_cast<const sockaddr_in*>(address));
    std::string endpoint;
    while (filter >> endpoint) {
        if (endpoint != wanted) {
            continue;
        }
        if (mode == "refuse") {
            errno = ECONNREFUSED;
            return -1;
        }
        if (mode == "delay") {
            std::this_thread::sleep_for(std::chrono::milliseconds{delay_ms});
            break;
        }
        const auto elsewhere = parse(silent_endpoint);
        return connect_as_usual(socket, reinterpret_cast<const sockaddr*>(&elsewhere),
                                sizeof elsewhere);
    }
    return connect_as_usual(socket, address, length);
}
