#include "Callers.h"
#include "JobSite.h"

#include <cstdlib>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace baobabcove;
using namespace baobabcove::testing;

namespace {

constexpr int DefaultSeed = 1;
constexpr int DefaultSeconds = 20;

int setting(const char *Name, int Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::atoi(Text) : Default;
}

/// Draws faults one after another and brings each about.
class Chaos {
public:
  Chaos(Deployment &Site, int Seed)
      : Site(Site), Random(static_cast<unsigned>(Seed)) {}

  /// Brings about one fault; returns its name.
  std::string next() {
    using Fault = void (Chaos::*)();
    static const std::vector<std::pair<const char *, Fault>> Faults = {
        {"kill entry", &Chaos::killEntry},
        {"kill minion agent", &Chaos::killMinionAgent},
        {"kill minion", &Chaos::killMinion},
        {"kill worker agent", &Chaos::killWorkerAgent},
        {"kill worker", &Chaos::killWorker},
        {"freeze entry", &Chaos::freezeEntry},
        {"freeze worker agent", &Chaos::freezeWorkerAgent},
        {"store down", &Chaos::storeDown},
        {"store slow", &Chaos::storeSlow},
        {"store loses answers", &Chaos::storeLoses},
        {"connections cut", &Chaos::cut},
        {"connections silent", &Chaos::silence},
    };
    const auto &[Name, Happen] =
        Faults[draw(static_cast<int>(Faults.size()) - 1)];
    (this->*Happen)();
    return Name;
  }

  int draw(int Most) {
    return std::uniform_int_distribution<int>(0, Most)(Random);
  }

private:
  void killEntry() { (void)Site.restartEntry(draw(1)); }
  void killMinionAgent() { (void)Site.restartMinionAgent(draw(2)); }
  void killMinion() { (void)Site.restartMinion(draw(2)); }
  void killWorkerAgent() { (void)Site.restartWorkerAgent(draw(3)); }
  void killWorker() { (void)Site.restartWorker(draw(3)); }
  void freezeEntry() { pause(Site.entry(draw(1))); }
  void freezeWorkerAgent() { pause(Site.workerAgent(draw(3))); }
  void pause(Process &Which) {
    Which.freeze();
    sleepMs(500 + draw(6000));
    Which.thaw();
  }
  void storeDown() {
    (void)Site.orderStore("/down");
    sleepMs(500 + draw(4000));
    (void)Site.orderStore("/up");
  }
  void storeSlow() {
    (void)Site.orderStore("/slow?ms=200");
    sleepMs(500 + draw(2000));
    (void)Site.orderStore("/slow?ms=0");
  }
  void storeLoses() { (void)Site.orderStore("/lose?count=5"); }
  void cut() { (void)Site.orderAgentProxy(draw(2), "/cut"); }
  void silence() { (void)Site.orderAgentProxy(draw(2), "/silence"); }

  Deployment &Site;
  std::mt19937 Random;
};

} // namespace

TEST_GROUP(Chaos){};

TEST(Chaos, KeepsEveryPromiseUnderARandomScheduleOfFaults) {
  const int Seed = setting("CHAOS_SEED", DefaultSeed);
  DeploymentPlan Plan;
  Plan.Minions = 3;
  Plan.Workers = 4;
  Plan.ProxyAgents = true;
  JobSite Jobs(Plan);
  CHECK_TRUE(Jobs.Site.ready());
  Tally Got;
  CallerPlan Load;
  Load.Threads = 4;
  Load.Count = 1000000;
  Callers Callers(Jobs.Site, Got, Load);
  Chaos Faults(Jobs.Site, Seed);
  const Instant Until =
      monotonicNow() +
      std::chrono::seconds(setting("CHAOS_SECONDS", DefaultSeconds));
  std::string Story = "seed " + std::to_string(Seed) + ":";
  std::map<std::string, bool> Ids;
  while (monotonicNow() < Until) {
    const bool Once = Faults.draw(3) == 0;
    const std::string Id = Jobs.submit(Faults.draw(1), 1 + Faults.draw(2),
                                       500 + Faults.draw(3000), !Once);
    if (!Id.empty())
      Ids[Id] = Once;
    Story += " " + Faults.next() + ",";
    sleepMs(Faults.draw(800));
  }
  // Whatever was accepted comes to its end once the faults are over.
  for (const auto &[Id, Once] : Ids) {
    const bool Ended = Deployment::waitFor(
        [&, &Name = Id] {
          const auto State = Jobs.Site.job(0, Name).state();
          return State == wire::DONE || State == wire::JOB_FAILED;
        },
        90);
    CHECK_TEXT(Ended, (Story + " " + Id + " has not ended").c_str());
    if (Once)
      CHECK_TEXT(Jobs.attemptsRun(Id) <= 1, (Story + " " + Id).c_str());
  }
  Got.Stop = true;
  Callers.join();
  STRCMP_EQUAL_TEXT("", broken(Got, Jobs.Site).c_str(), Story.c_str());
  STRCMP_EQUAL_TEXT("", Jobs.broken().c_str(), Story.c_str());
  CHECK_TEXT(Got.count("answered") > 50, Story.c_str());
  LONGS_EQUAL_TEXT(1, Jobs.Site.leastVersion(), Story.c_str());
}
