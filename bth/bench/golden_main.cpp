// bth-golden: writes the golden sessions anew; run in the source folder.
#include "bth/bench/golden.h"

#include <fstream>
#include <iostream>

int main()
{
    for (const bth::bench::run_plan& plan : bth::bench::golden_sessions()) {
        const std::string path = bth::bench::golden_path(plan);
        std::ofstream file{path};
        file << bth::bench::play_session(plan);
        if (!file) {
            std::cerr << "can't write " << path << "\n";
            return 1;
        }
        std::cout << path << "\n";
    }
    return 0;
}
