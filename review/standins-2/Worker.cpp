// A worker as the platform's pages describe it: it starts, stops and lists runs
// on orders, kills them when its lease is over, and reports to the agent beside
// it. What a task does is written in its text: "work_ms=4000 gpu=8 gang=2". On
// SIGHUP it starts again under its id.

#include "Common.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <optional>
#include <sstream>
#include <thread>

namespace review {

namespace {

constexpr int Conflict = 409;
constexpr int WrongInstance = 421;
constexpr std::int64_t TickMs = 5;
constexpr std::int64_t MaxWaitMs = 2000;
constexpr std::int64_t HeartbeatMs = 1500;
constexpr std::int64_t RetryMs = 200;
constexpr std::int64_t AnswerMs = 1000;
constexpr std::size_t MaxEnds = 500;
/// A message between regions of the small deployments.
constexpr std::int64_t BetweenRegionsMs = 12;
constexpr std::int64_t AllPercent = 100;

/// Set by SIGHUP.
std::atomic<bool> AgainRequested{false};

struct Run {
  std::int64_t Number = 0;
  std::int64_t Since = 0;
  std::int64_t WorkMs = 0;
  std::int64_t Cpu = 0;
  std::int64_t Gpu = 0;
  std::int64_t GangSize = 1;
  std::int64_t AtWorkSince = 0;
};

struct End {
  std::int64_t Number = 0;
  std::string Task;
  std::int64_t Run = 0;
  std::string How;
};

std::int64_t fieldOf(const std::string &Spec, const std::string &Name,
                     std::int64_t Default) {
  std::istringstream Words(Spec);
  for (std::string Word; Words >> Word;)
    if (Word.rfind(Name + "=", 0) == 0)
      return std::stoll(Word.substr(Name.size() + 1));
  return Default;
}

/// The members of gangs that are present, and gangs that have ended. Kept in
/// files, because the members are on several workers.
class Gangs {
public:
  explicit Gangs(std::string Folder) : Folder(std::move(Folder)) {}

  void join(const std::string &Task, std::int64_t Number) const {
    std::filesystem::create_directories(folderOf(Task, Number));
    std::ofstream(folderOf(Task, Number) / ("member-" + Task)) << Task;
  }

  bool areAllPresent(const std::string &Task, const Run &Member) const {
    std::int64_t Present = 0;
    std::error_code Fault;
    for (const auto &Each : std::filesystem::directory_iterator(
             folderOf(Task, Member.Number), Fault))
      Present +=
          Each.path().filename().string().rfind("member-", 0) == 0 ? 1 : 0;
    return Present >= Member.GangSize;
  }

  void noteBroken(const std::string &Task, std::int64_t Number) const {
    const auto Mark = folderOf(Task, Number) / "broken";
    if (!std::filesystem::exists(Mark))
      std::ofstream(Mark) << nowMs();
  }

  /// Whether the end of another member has become known here.
  bool isBroken(const std::string &Task, std::int64_t Number) const {
    std::int64_t At = 0;
    std::ifstream(folderOf(Task, Number) / "broken") >> At;
    return At > 0 && nowMs() - At >= BetweenRegionsMs;
  }

private:
  std::filesystem::path folderOf(const std::string &Task,
                                 std::int64_t Number) const {
    return std::filesystem::path(Folder) /
           (Task.substr(0, Task.rfind('.')) + "-" + std::to_string(Number));
  }

  const std::string Folder;
};

class Worker {
public:
  explicit Worker(const Options &Given)
      : Given(Given), Ip(Given.text("ip", "")), Id(Given.text("id", "")),
        Agent(Given.text("agent", "")), GreyFile(Given.text("grey_file", "")),
        DrainFile(Given.text("drain_file", "")),
        MaxHoldMs(Given.number("max_hold_ms", 10000)),
        GangWaitMs(Given.number("gang_wait_ms", 3000)),
        FailsAfterMs(Given.number("fails_after_ms", 50)),
        StartMs(Given.number("start_ms", 0)), BornAt(nowMs()), BornMs(unixMs()),
        Members(Given.text("gangs", "/tmp")),
        Events(Given.text("record", "/dev/null")) {
    note("born " + std::to_string(BornMs));
  }

  std::string address() const { return Ip + ":" + Given.text("port", "8083"); }

  std::optional<Response> answer(const Request &Call) {
    if (Call.Path == "/healthz")
      return Response();
    if (Call.Path == "/-/run-start" && StartMs > 0)
      sleepMs(StartMs);
    std::unique_lock<std::mutex> Lock(Mutex);
    if (Call.ExpectedInstance != Id)
      return refuse(WrongInstance, "");
    const Object Order = parse(Call.Body);
    const auto Token = Order->optValue<std::int64_t>("fencing_token", 0);
    if (Token < Fence)
      return refuse(Conflict, "fence");
    Fence = Token;
    if (const auto Until = Order->optValue<std::int64_t>("deadline_ms", 0))
      extend(Until);
    if (Call.Path == "/-/run-start")
      return start(Order);
    if (Call.Path == "/-/run-stop")
      return stop(Order);
    return hold(Order, Lock);
  }

  /// Starts again empty under the same id. The socket on which it listens stays
  /// open, as with a supervisor that hands it over; its connections end.
  void startAgain() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Running.clear();
    Ends.clear();
    Barred.clear();
    LastEnd = Fence = LeaseUntil = Sequence = 0;
    BornAt = nowMs();
    BornMs = unixMs();
    ++Life;
    AnswersToLose = Given.number("lost_listings", 0);
    note("started again, born " + std::to_string(BornMs));
    Changed.notify_all();
  }

  /// Moves time on until the process ends.
  void live() {
    for (;;) {
      sleepMs(TickMs);
      if (AgainRequested.exchange(false))
        startAgain();
      const std::lock_guard<std::mutex> Lock(Mutex);
      advance();
    }
  }

  void sendHeartbeats() {
    for (std::int64_t Next = nowMs();;) {
      std::string Body;
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        Body = textOf(heartbeat());
      }
      const Response Answer =
          call(Agent, "PUT", "/-/instances/" + Id, Body, AnswerMs);
      const bool IsAcknowledged = Answer.Status / AllPercent == 2;
      if (IsAcknowledged && Body.find("draining") != std::string::npos)
        note("draining acknowledged");
      Next = IsAcknowledged ? std::max(Next + HeartbeatMs, nowMs())
                            : nowMs() + RetryMs;
      bool WasDraining = isDraining();
      while (nowMs() < Next && isDraining() == WasDraining)
        sleepMs(TickMs);
    }
  }

private:
  void note(const std::string &Event) const {
    Events.note(Ip + " " + Id + " " + Event);
  }

  bool isDraining() const {
    return !DrainFile.empty() && std::filesystem::exists(DrainFile);
  }

  std::int64_t clockMs() const { return nowMs() - BornAt; }

  Object reply() const {
    Object Body = new Poco::JSON::Object;
    Body->set("clock_ms", clockMs());
    return Body;
  }

  Response refuse(int Status, const std::string &Reason) const {
    Object Body = reply();
    if (!Reason.empty())
      Body->set("reason", Reason);
    return {Status, textOf(Body)};
  }

  Object heartbeat() {
    Object Capacity = new Poco::JSON::Object;
    Capacity->set("cpu", Given.number("cpu", 32000));
    Capacity->set("mem_mb", Given.number("mem_mb", 131072));
    Capacity->set("gpu", Given.number("gpu", 8));
    Array Labels = new Poco::JSON::Array;
    Labels->add(Given.text("kind", "a"));
    Labels->add(Given.text("rack", "r1"));
    Object Body = reply();
    Body->set("born", BornMs);
    Body->set("service", Given.text("service", "planner"));
    Body->set("address", address());
    Body->set("zone", Given.text("zone", "z"));
    Body->set("version", "v1");
    Body->set("slots", 8);
    Body->set("state", isDraining() ? "draining" : "ready");
    if (isDraining())
      Body->set("remaining_ms", Given.number("remaining_ms", 10000));
    Body->set("cold_remaining_ms", 0);
    Body->set("capacity", Capacity);
    Body->set("labels", Labels);
    Body->set("sequence", ++Sequence);
    return Body;
  }

  /// Extends the lease of all runs; it never shortens, and is cut to the
  /// longest lease.
  void extend(std::int64_t Until) {
    checkLease();
    LeaseUntil = std::max(LeaseUntil, std::min(Until, clockMs() + MaxHoldMs));
  }

  void checkLease() {
    if (clockMs() < LeaseUntil)
      return;
    while (!Running.empty())
      end(Running.begin()->first, "lapsed");
  }

  void end(const std::string &Name, const std::string &How) {
    // The name may be the key of the run, which stays valid with the node.
    const auto Node = Running.extract(Name);
    const std::string &Task = Node.key();
    const Run &Ended = Node.mapped();
    Ends.push_back({++LastEnd, Task, Ended.Number, How});
    std::int64_t &Bar = Barred[Task];
    Bar = std::max(Bar, Ended.Number);
    note("end " + Task + " run " + std::to_string(Ended.Number) + " " + How);
    if (Ended.GangSize > 1 && How != "done")
      Members.noteBroken(Task, Ended.Number);
    Changed.notify_all();
  }

  void advance() {
    checkLease();
    const bool IsGrey = !GreyFile.empty() && std::filesystem::exists(GreyFile);
    std::vector<std::pair<std::string, std::string>> Over;
    for (auto &[Task, Each] : Running) {
      const bool IsGang = Each.GangSize > 1;
      if (IsGang && Members.isBroken(Task, Each.Number))
        Over.emplace_back(Task, "broken");
      else if (IsGrey && nowMs() - Each.Since >= FailsAfterMs)
        Over.emplace_back(Task, "failed");
      else if (IsGang && !Each.AtWorkSince &&
               nowMs() - Each.Since >= GangWaitMs)
        Over.emplace_back(Task, "alone");
      else if (IsGang && !Each.AtWorkSince && Members.areAllPresent(Task, Each))
        Each.AtWorkSince = nowMs();
      else if (Each.AtWorkSince && nowMs() - Each.AtWorkSince >= Each.WorkMs)
        Over.emplace_back(Task, "done");
    }
    for (const auto &[Task, How] : Over)
      end(Task, How);
  }

  Response start(const Object &Order) {
    const auto Task = Order->getValue<std::string>("task");
    const auto Number = Order->getValue<std::int64_t>("run");
    const auto Spec = Order->optValue<std::string>("spec", "");
    const auto Here = Running.find(Task);
    if (Here != Running.end())
      return Here->second.Number == Number ? Response{200, textOf(reply())}
                                           : refuse(Conflict, "old");
    if (const auto Bar = Barred.find(Task);
        Bar != Barred.end() && Number <= Bar->second)
      return refuse(Conflict, "old");
    if (clockMs() >= Order->optValue<std::int64_t>("deadline_ms", 0))
      return refuse(Conflict, "late");
    Run Next;
    Next.Number = Number;
    Next.Since = nowMs();
    Next.WorkMs = fieldOf(Spec, "work_ms", 1000);
    Next.Cpu = fieldOf(Spec, "cpu", 0);
    Next.Gpu = fieldOf(Spec, "gpu", 0);
    Next.GangSize = fieldOf(Spec, "gang", 1);
    std::int64_t Cpu = Next.Cpu;
    std::int64_t Gpu = Next.Gpu;
    for (const auto &[Other, Each] : Running) {
      Cpu += Each.Cpu;
      Gpu += Each.Gpu;
    }
    if (Cpu > Given.number("cpu", 32000) || Gpu > Given.number("gpu", 8))
      return refuse(Conflict, "room");
    if (Next.GangSize > 1)
      Members.join(Task, Number);
    else
      Next.AtWorkSince = nowMs();
    Running[Task] = Next;
    note("start " + Task + " run " + std::to_string(Number) + " fence " +
         std::to_string(Fence) + " lease_left_ms " +
         std::to_string(LeaseUntil - clockMs()) + " spec " + Spec);
    return {200, textOf(reply())};
  }

  Response stop(const Object &Order) {
    const auto Task = Order->getValue<std::string>("task");
    const auto Number = Order->getValue<std::int64_t>("run");
    const auto Here = Running.find(Task);
    if (Here != Running.end() && Here->second.Number <= Number)
      end(Task, "stopped");
    std::int64_t &Bar = Barred[Task];
    Bar = std::max(Bar, Number);
    return {200, textOf(reply())};
  }

  /// Returns nothing if the answer is lost.
  std::optional<Response> hold(const Object &Order,
                               std::unique_lock<std::mutex> &Lock) {
    const std::int64_t Now = Life;
    const auto Through = Order->optValue<std::int64_t>("acked_through", 0);
    while (!Ends.empty() && Ends.front().Number <= Through) {
      note("acknowledged " + Ends.front().Task + " run " +
           std::to_string(Ends.front().Run) + " " + Ends.front().How);
      Ends.pop_front();
    }
    const std::int64_t Wait =
        std::min(MaxWaitMs, Order->optValue<std::int64_t>("wait_ms", 0));
    Changed.wait_for(Lock, std::chrono::milliseconds(Wait),
                     [&] { return Life != Now || !Ends.empty(); });
    if (Life != Now)
      return std::nullopt;
    if (AnswersToLose > 0) {
      --AnswersToLose;
      note("answer to a listing lost");
      return std::nullopt;
    }
    Array RunningRows = new Poco::JSON::Array;
    for (const auto &[Task, Each] : Running) {
      const std::int64_t Done =
          Each.AtWorkSince ? nowMs() - Each.AtWorkSince : 0;
      Array Row = new Poco::JSON::Array;
      Row->add(Task);
      Row->add(Each.Number);
      Row->add(std::string());
      Row->add(
          std::min(AllPercent,
                   AllPercent * Done / std::max<std::int64_t>(1, Each.WorkMs)));
      Row->add(Each.Cpu);
      RunningRows->add(Row);
    }
    Array EndRows = new Poco::JSON::Array;
    for (const End &Each : Ends) {
      if (EndRows->size() == MaxEnds)
        break;
      Array Row = new Poco::JSON::Array;
      Row->add(Each.Number);
      Row->add(Each.Task);
      Row->add(Each.Run);
      Row->add(Each.How);
      Row->add(std::string());
      EndRows->add(Row);
    }
    Object Body = reply();
    Body->set("born", BornMs);
    Body->set("running", RunningRows);
    Body->set("ended", EndRows);
    return Response{200, textOf(Body)};
  }

  const Options Given;
  const std::string Ip;
  const std::string Id;
  const std::string Agent;
  const std::string GreyFile;
  const std::string DrainFile;
  const std::int64_t MaxHoldMs;
  const std::int64_t GangWaitMs;
  const std::int64_t FailsAfterMs;
  const std::int64_t StartMs;
  std::int64_t BornAt;
  std::int64_t BornMs;
  const Gangs Members;
  const Record Events;

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Run> Running;
  std::deque<End> Ends;
  /// The highest run of each task that was stopped or has ended here.
  std::map<std::string, std::int64_t> Barred;
  std::int64_t LastEnd = 0;
  std::int64_t Fence = 0;
  std::int64_t LeaseUntil = 0;
  std::int64_t Sequence = 0;
  /// Number of the present life, and of answers to lose in it.
  std::int64_t Life = 0;
  std::int64_t AnswersToLose = 0;
};

} // namespace

int runWorker(const Options &Given) {
  (void)std::signal(SIGHUP, [](int) { AgainRequested = true; });
  Worker Self(Given);
  const auto Server = serve(Self.address(), [&Self](const Request &Call) {
    return Self.answer(Call);
  });
  std::thread Beats([&Self] { Self.sendHeartbeats(); });
  Self.live();
  return 0;
}

} // namespace review
