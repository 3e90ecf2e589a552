// Runs independent jobs on a few threads; each job writes only its own result.
//
//   for_each_parallel(count, jobs, [&](std::size_t index) { results[index] = run(index); });
#pragma once

#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace bth::bench {

template <class Job>
void for_each_parallel(std::size_t count, std::size_t threads, Job job)
{
    std::atomic<std::size_t> next{};
    const auto work = [&] {
        for (std::size_t index = next++; index < count; index = next++) {
            job(index);
        }
    };
    std::vector<std::jthread> pool;
    for (std::size_t each = 0; each < threads; ++each) {
        pool.emplace_back(work);
    }
}

} // namespace bth::bench
