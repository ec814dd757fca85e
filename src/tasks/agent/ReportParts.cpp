#include "tasks/agent/ReportParts.h"

namespace baobabcove {

namespace {

/// Largest size of each list. A message of all lists stays below half of the
/// 4 MiB that the coordinator accepts.
constexpr std::size_t MaxListBytes = 384 << 10;
/// Added to the size of an element for its tag and length.
constexpr std::size_t ElementOverhead = 8;

/// Keeps the size of a list.
class ListBudget {
public:
  /// Takes the size of \p Element. Returns false if it does not fit; a first
  /// element always does, so that there is progress.
  template <class T> bool take(const T &Element) {
    Bytes += Element.ByteSizeLong() + ElementOverhead;
    return ++Count == 1 || Bytes <= MaxListBytes;
  }

private:
  std::size_t Bytes = 0;
  std::size_t Count = 0;
};

} // namespace

std::size_t addRunsFrom(wire::TaskReport &Report,
                        const std::vector<wire::RunStatus> &Running,
                        std::size_t First) {
  ListBudget Budget;
  if (First >= Running.size())
    First = 0;
  std::size_t Added = 0;
  for (; Added < Running.size(); ++Added) {
    const wire::RunStatus &Run = Running[(First + Added) % Running.size()];
    if (!Budget.take(Run))
      break;
    *Report.add_running() = Run;
  }
  if (Added == Running.size())
    return 0;
  Report.set_running_parts(
      static_cast<std::uint32_t>((Running.size() + Added - 1) / Added));
  return (First + Added) % Running.size();
}

void addEnds(wire::TaskReport &Report, const std::vector<wire::RunEnd> &Ends) {
  ListBudget Budget;
  for (const wire::RunEnd &End : Ends) {
    if (!Budget.take(End))
      return;
    *Report.add_ends() = End;
  }
}

void addRefusals(wire::TaskReport &Report,
                 const std::vector<wire::RunRefusal> &Refusals) {
  ListBudget Budget;
  for (const wire::RunRefusal &Refusal : Refusals) {
    if (!Budget.take(Refusal))
      return;
    *Report.add_refusals() = Refusal;
  }
}

void addLostRuns(wire::TaskReport &Report, const LostRunMap &Lost) {
  ListBudget Budget;
  for (const auto &[Run, HasBegun] : Lost) {
    wire::RunKey Key;
    Key.set_task(Run.first);
    Key.set_run(Run.second);
    Key.set_begun(HasBegun);
    if (!Budget.take(Key)) {
      Report.clear_lost_runs();
      Report.clear_lost_worker();
      Report.clear_lost_runs_complete();
      return;
    }
    *Report.add_lost_runs() = std::move(Key);
  }
}

} // namespace baobabcove
