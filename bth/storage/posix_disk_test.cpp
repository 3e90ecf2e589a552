#include "bth/storage/journal.h"
#include "bth/storage/posix_disk.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include <csignal>
#include <sys/resource.h>

#include <CppUTest/TestHarness.h>

namespace {

using namespace bth::storage;

// A folder of its own that is removed in the end.
class temporary_folder {
public:
    temporary_folder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "bth-storage-XXXXXX").string();
        this->path = ::mkdtemp(pattern.data());
    }
    ~temporary_folder() { std::filesystem::remove_all(this->path); }

    std::string path;
};

journal<posix_disk> journal_in(const std::string& folder)
{
    return journal<posix_disk>{posix_disk::open(folder).value()};
}

} // namespace

// clang-format off
TEST_GROUP(posix_disk) {};
// clang-format on

TEST(posix_disk, journal_reads_back_what_it_wrote)
{
    const temporary_folder folder;
    {
        auto kept = journal_in(folder.path);
        CHECK_TRUE(kept.open().has_value());
        CHECK_TRUE(kept.create("host a").has_value());
        CHECK_TRUE(kept.append("one").has_value());
        CHECK_TRUE(kept.replace("state", {"two"}).has_value());
        CHECK_TRUE(kept.append("three").has_value());
    }
    auto again = journal_in(folder.path);
    const auto contents = again.open();
    CHECK_TRUE(contents.has_value());
    CHECK_TRUE(contents->identity == "host a");
    CHECK_TRUE(contents->snapshot == "state");
    CHECK_TRUE(contents->records == (std::vector<std::string>{"two", "three"}));
}

TEST(posix_disk, folder_in_use_is_refused)
{
    const temporary_folder folder;
    const auto first = posix_disk::open(folder.path);
    const auto second = posix_disk::open(folder.path);
    CHECK_TRUE(first.has_value());
    CHECK_FALSE(second.has_value());
    CHECK_TRUE(second.error().kind == storage_error_kind::locked);
}

TEST(posix_disk, missing_folder_is_refused_with_its_name)
{
    const auto opened = posix_disk::open("/nowhere/data");
    CHECK_FALSE(opened.has_value());
    CHECK_TRUE(to_string(opened.error()).starts_with("/nowhere/data: can't open the data folder"));
}

TEST(posix_disk, file_in_place_of_the_folder_is_refused)
{
    const temporary_folder folder;
    std::ofstream{folder.path + "/file"} << "x";
    CHECK_FALSE(posix_disk::open(folder.path + "/file").has_value());
}

TEST(posix_disk, write_past_the_file_size_limit_is_an_error_and_the_journal_stops)
{
    const temporary_folder folder;
    auto kept = journal_in(folder.path);
    CHECK_TRUE(kept.open().has_value());
    CHECK_TRUE(kept.create("host a").has_value());
    struct rlimit before {};
    ::getrlimit(RLIMIT_FSIZE, &before);
    const auto handler = std::signal(SIGXFSZ, SIG_IGN);
    struct rlimit small = before;
    small.rlim_cur = 100;
    ::setrlimit(RLIMIT_FSIZE, &small);
    const auto written = kept.append(std::string(200, 'x'));
    ::setrlimit(RLIMIT_FSIZE, &before);
    (void)std::signal(SIGXFSZ, handler);
    CHECK_FALSE(written.has_value());
    CHECK_TRUE(written.error().kind == storage_error_kind::io);
    CHECK_FALSE(kept.append("y").has_value());
}
