// Prints what a run saw: requests by outcome, faults by kind, violations.
//
// The proving program uses it.
#pragma once

#include "Checker.h"
#include "Observations.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::standin {

// What is printed.
struct RunReport {
    const Observations& seen;
    const Expectation& expectation;
    const std::optional<std::vector<BillLine>>& bill;
    const std::vector<std::string>& faults; // The kind of each fault that was caused.
    const std::vector<Violation>& violations;
};

void printSummary(std::ostream& out, const RunReport& report);

}
