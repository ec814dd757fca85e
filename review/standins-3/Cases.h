#ifndef BAOBABCOVE_REVIEW_STANDINS_3_CASES_H
#define BAOBABCOVE_REVIEW_STANDINS_3_CASES_H

#include "Record.h"
#include "System.h"

#include <string>

namespace baobabcove::review {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/// Runs a case by its name, with its disruption if \p HasTrouble.
int runCase(const std::string &Name, Record &Events, const CaseFiles &Files,
            bool HasTrouble);

} // namespace baobabcove::review

#endif // BAOBABCOVE_REVIEW_STANDINS_3_CASES_H
