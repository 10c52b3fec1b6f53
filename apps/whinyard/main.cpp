// whinyard: the command line of operators and support engineers.
#include "CommandLine.h"

#include <iostream>

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(whinyard::command::runCommandLine(arguments, { std::cout, std::cerr }));
}
