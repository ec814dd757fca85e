#include "platform/Daemons.h"

int main() { return baobabcove::platform::runAgent(); }
