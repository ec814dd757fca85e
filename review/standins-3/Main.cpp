// The cases of the review: review-3 CASE RECORD TEMPORARY ENTRY AGENT. Exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// TROUBLE=0 in the environment leaves the disruption out.

#include "Cases.h"

#include <cstdlib>
#include <cstring>
#include <iostream>

using namespace baobabcove::review;

int main(int Count, char **Arguments) {
  constexpr int Expected = 6;
  if (Count != Expected) {
    std::cerr << "usage: review-3 CASE RECORD TEMPORARY ENTRY AGENT\n";
    return CouldNotRun;
  }
  const char *Trouble = std::getenv("TROUBLE");
  const CaseFiles Files{Arguments[4], Arguments[5], Arguments[3]};
  Record Events(Arguments[2]);
  return runCase(Arguments[1], Events, Files,
                 !Trouble || std::strcmp(Trouble, "0") != 0);
}
