// The main() of every test program: a test that ends the program is told by a line of the crash report.
#include "whinyard/base/CrashReport.h"

#include <gtest/gtest.h>

#include <string_view>

int main(int argc, char** argv)
{
    const std::string_view program(argv[0]);
    whinyard::crash::install(program.substr(program.rfind('/') + 1));
    ::testing::InitGoogleTest(&argc, argv);
    const whinyard::crash::ExitGuard guard;
    return RUN_ALL_TESTS();
}
