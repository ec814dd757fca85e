#include "Workload.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>

namespace baobabcove::bench {

namespace {

constexpr std::int64_t HourMs = 3600LL * 1000;
constexpr std::int64_t HorizonMs = 24 * HourMs;
constexpr std::uint32_t AcceleratorsPerWorker = 8;
/// Largest factor by which a declared run time is wrong in either direction.
constexpr double MaxRunTimeError = 10;
/// Share of the jobs that fail on every worker.
constexpr double AlwaysFailingShare = 0.03;
/// Share of the jobs of the last hour that a wave cancels.
constexpr double CancelShare = 0.3;
constexpr int CancelWaves = 3;
constexpr int SmallBursts = 4;
constexpr int SmallBurstJobs = 40;
constexpr int LargeBursts = 3;
constexpr int LargeBurstJobs = 4;
constexpr int OutagesPerDay = 6;
constexpr std::int64_t OutageMs = HourMs / 2;

/// A class of similar jobs.
struct JobClass {
  const char *Name;
  std::size_t Workspace;
  double Share;
  std::uint32_t Tasks;
  std::uint32_t AcceleratorsPerTask;
  Adjacency Near;
  /// In minutes.
  double MeanRunMin;
};

/// A part of the day in which a share of the jobs is submitted.
struct Peak {
  double Share;
  double FromHour;
  double UntilHour;
};

/// Workers, guarantees and job mix of a deployment.
struct SiteProfile {
  std::uint32_t Cores;
  std::uint64_t MemoryMb;
  double CompletionWeight;
  std::uint32_t LargeGuarantees[2];
  std::vector<Peak> Peaks;
  std::vector<JobClass> Classes;
};

/// Names of the workspaces, indexed by JobClass::Workspace.
const char *const Workspaces[] = {"large-1", "large-2", "small-1", "small-2"};

const SiteProfile &profileOf(const std::string &Deployment) {
  static const SiteProfile Kumasaka = {
      30,
      130000,
      0.7,
      {24, 16},
      // Users submit planning jobs in the evening and need the results by
      // breakfast.
      {{0.75, 17, 23}, {0.25, 0, 24}},
      {{"roster", 2, 0.45, 1, 1, Adjacency::Any, 8},
       {"check-model", 3, 0.30, 2, 1, Adjacency::SameWorker, 15},
       {"cut-plan", 0, 0.16, 1, 8, Adjacency::SameWorker, 45},
       {"cut-plan-wide", 1, 0.06, 4, 4, Adjacency::SameRack, 60},
       {"season-plan", 0, 0.03, 3, 8, Adjacency::SameRack, 90}}};
  static const SiteProfile Skoljka = {
      60,
      260000,
      0.25,
      {16, 24},
      // Farmers submit jobs from their boats in the morning, buyers before the
      // auctions.
      {{0.4, 4, 8}, {0.35, 14, 17}, {0.25, 0, 24}},
      {{"tally", 2, 0.34, 1, 1, Adjacency::Any, 10},
       {"notes", 3, 0.30, 1, 2, Adjacency::SameWorker, 20},
       {"lift-photos", 1, 0.25, 1, 4, Adjacency::SameWorker, 40},
       {"photo-sort", 0, 0.08, 2, 8, Adjacency::SameRack, 60},
       {"photo-sort-wide", 1, 0.03, 3, 8, Adjacency::SameRack, 80}}};
  return Deployment == "skoljka" ? Skoljka : Kumasaka;
}

/// Creates ten workers in three data centres with at most three in each rack.
std::vector<WorkerInfo> makeWorkers(const SiteProfile &Profile) {
  static const char *const Places[] = {"a", "a", "a", "a", "b",
                                       "b", "b", "c", "c", "c"};
  static const char *const Racks[] = {"1", "1", "1", "2", "1",
                                      "1", "1", "1", "1", "1"};
  std::vector<WorkerInfo> Result;
  for (std::size_t I = 0; I < std::size(Places); ++I) {
    WorkerInfo Info;
    Info.Id = NodeId("worker-" + std::to_string(I));
    Info.Place = PlaceName(Places[I]);
    Info.DataCentre = DataCentreName(std::string(Places[I]) + "-1");
    Info.Rack = RackName(Racks[I]);
    Info.Accelerators = AcceleratorsPerWorker;
    Info.Cores = Profile.Cores;
    Info.MemoryMb = Profile.MemoryMb;
    Result.push_back(Info);
  }
  return Result;
}

/// Creates the guarantees. The large workspaces are guaranteed the shape of
/// their widest gangs.
std::vector<WorkspaceGuarantee> makeGuarantees(const SiteProfile &Profile) {
  return {{WorkspaceId("large-1"),
           {{1, Profile.LargeGuarantees[0], Adjacency::SameRack}}},
          {WorkspaceId("large-2"),
           {{1, Profile.LargeGuarantees[1], Adjacency::SameRack}}},
          {WorkspaceId("small-1"), {{4, 1, Adjacency::SameWorker}}},
          {WorkspaceId("small-2"), {{2, 2, Adjacency::SameWorker}}}};
}

/// Generates random jobs from one seed. The order of the calls determines the
/// workload.
class JobGenerator {
public:
  JobGenerator(const SiteProfile &Profile, std::uint64_t Seed,
               const Faults &Enabled)
      : Profile(Profile), Enabled(Enabled), Random(Seed) {}

  std::size_t drawClass() {
    std::vector<double> Shares;
    for (const JobClass &Each : Profile.Classes)
      Shares.push_back(Each.Share);
    return std::discrete_distribution<std::size_t>(Shares.begin(),
                                                   Shares.end())(Random);
  }

  PlannedJob drawJob(std::size_t ClassIndex, std::int64_t AtMs) {
    const JobClass &Class = Profile.Classes[ClassIndex];
    PlannedJob Job;
    Job.Info.Id = JobId("j" + std::to_string(Next++));
    Job.Info.Workspace = WorkspaceId(Workspaces[Class.Workspace]);
    Job.Info.Class = Class.Name;
    Job.Info.Tasks = Class.Tasks;
    Job.Info.AcceleratorsPerTask = Class.AcceleratorsPerTask;
    Job.Info.Near = Class.Near;
    Job.Info.CoresPerTask = Class.AcceleratorsPerTask * 3;
    Job.Info.Submitted = Instant(Milliseconds(AtMs));
    Job.Info.Idempotent = chance(0.9);
    Job.Info.Urgent =
        Class.Tasks * Class.AcceleratorsPerTask <= 2 && chance(0.1);
    std::lognormal_distribution<double> Run(
        std::log(Class.MeanRunMin * 60000) - 0.5, 1);
    Job.Run = Milliseconds(
        std::clamp<std::int64_t>(std::int64_t(Run(Random)), 20000, 8 * HourMs));
    const double Memory = 1000.0 * Class.AcceleratorsPerTask;
    Job.MemoryMb =
        std::uint64_t(Memory * (Enabled.UsageLag ? randomFactor(4) : 1));
    Job.Info.MemoryMbPerTask = std::uint64_t(Memory);
    Job.Info.DeclaredRun = Milliseconds(std::int64_t(
        double(Job.Run.count()) *
        (Enabled.WrongRunTimes ? randomFactor(MaxRunTimeError) : 1)));
    Job.AlwaysFails = Enabled.FailingJobs && chance(AlwaysFailingShare);
    return Job;
  }

  bool chance(double Probability) {
    return std::bernoulli_distribution(Probability)(Random);
  }
  std::int64_t drawTimeMs() {
    return std::uniform_int_distribution<std::int64_t>(0, HorizonMs)(Random);
  }
  std::int64_t drawArrivalMs() {
    double Draw = std::uniform_real_distribution<double>(0, 1)(Random);
    std::size_t Which = 0;
    while (Which + 1 < Profile.Peaks.size() &&
           Draw >= Profile.Peaks[Which].Share)
      Draw -= Profile.Peaks[Which++].Share;
    const Peak &In = Profile.Peaks[Which];
    std::uniform_real_distribution<double> Hour(In.FromHour, In.UntilHour);
    return std::int64_t(Hour(Random) * HourMs);
  }
  std::size_t drawWorker() {
    return std::uniform_int_distribution<std::size_t>(0, 9)(Random);
  }

private:
  /// Returns a factor between 1 / \p Max and \p Max, uniform in its logarithm.
  double randomFactor(double Max) {
    std::uniform_real_distribution<double> Exponent(-1, 1);
    return std::pow(Max, Exponent(Random));
  }

  const SiteProfile &Profile;
  const Faults Enabled;
  std::mt19937_64 Random;
  std::size_t Next = 0;
};

double acceleratorTime(const PlannedJob &Job) {
  return double(Job.Run.count()) * Job.Info.Tasks *
         Job.Info.AcceleratorsPerTask;
}

/// Cancels a share of the jobs submitted in the hour before each wave.
void addCancellations(JobGenerator &Generator, Workload &Result) {
  for (int Wave = 0; Wave < CancelWaves; ++Wave) {
    const Instant At = Instant(Milliseconds(Generator.drawArrivalMs()));
    for (PlannedJob &Job : Result.Jobs) {
      const bool Recent = Job.Info.Submitted <= At &&
                          At - Job.Info.Submitted < Milliseconds(HourMs);
      if (Recent && Job.CancelAt == Instant() && Generator.chance(CancelShare))
        Job.CancelAt = At;
    }
  }
}

} // namespace

bool readFaults(const std::string &Text, Faults &Result) {
  const bool All = Text == "all";
  Result = {All, All, All, All, All, All};
  if (All || Text == "none")
    return true;
  std::istringstream In(Text);
  for (std::string Name; std::getline(In, Name, ',');) {
    if (Name == "lies")
      Result.WrongRunTimes = true;
    else if (Name == "never")
      Result.FailingJobs = true;
    else if (Name == "cancels")
      Result.Cancellations = true;
    else if (Name == "failing-worker")
      Result.FailingWorker = true;
    else if (Name == "losses")
      Result.WorkerLosses = true;
    else if (Name == "usage-lag")
      Result.UsageLag = true;
    else
      return false;
  }
  return true;
}

Workload makeWorkload(const std::string &Deployment, double Load,
                      std::uint64_t Seed, const Faults &Enabled) {
  const SiteProfile &Profile = profileOf(Deployment);
  Workload Result;
  Result.Workers = makeWorkers(Profile);
  Result.Guarantees = makeGuarantees(Profile);
  Result.CompletionWeight = Profile.CompletionWeight;
  JobGenerator Generator(Profile, Seed, Enabled);
  const double Capacity =
      double(HorizonMs) * AcceleratorsPerWorker * double(Result.Workers.size());
  double Work = 0;
  const auto Add = [&](std::size_t ClassIndex, std::int64_t AtMs) {
    Result.Jobs.push_back(Generator.drawJob(ClassIndex, AtMs));
    Work += acceleratorTime(Result.Jobs.back());
  };
  for (int Burst = 0; Burst < SmallBursts; ++Burst) {
    const std::int64_t AtMs = Generator.drawArrivalMs();
    for (int I = 0; I < SmallBurstJobs; ++I)
      Add(std::size_t(I % 2), AtMs);
  }
  for (int Burst = 0; Burst < LargeBursts; ++Burst) {
    const std::int64_t AtMs = Generator.drawArrivalMs();
    for (int I = 0; I < LargeBurstJobs; ++I)
      Add(Profile.Classes.size() - 1 - std::size_t(I % 2), AtMs);
  }
  while (Work < Load * Capacity) {
    const std::int64_t AtMs = Generator.drawArrivalMs();
    Add(Generator.drawClass(), AtMs);
  }
  std::sort(Result.Jobs.begin(), Result.Jobs.end(),
            [](const PlannedJob &L, const PlannedJob &R) {
              return L.Info.Submitted < R.Info.Submitted;
            });
  if (Enabled.Cancellations)
    addCancellations(Generator, Result);
  Result.FailingWorker =
      Enabled.FailingWorker ? Generator.drawWorker() : Result.Workers.size();
  for (int I = 0; Enabled.WorkerLosses && I < OutagesPerDay; ++I) {
    const Instant From = Instant(Milliseconds(Generator.drawTimeMs()));
    Result.Outages.push_back(
        {Generator.drawWorker(), From, From + Milliseconds(OutageMs)});
  }
  return Result;
}

} // namespace baobabcove::bench
