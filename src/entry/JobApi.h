#ifndef BAOBABCOVE_ENTRY_JOBAPI_H
#define BAOBABCOVE_ENTRY_JOBAPI_H

#include "entry/EntryContext.h"

namespace baobabcove {

/// HTTP handlers that submit, show, list, wait for and cancel jobs.
class JobApi {
public:
  explicit JobApi(EntryContext &Context) : Context(Context) {}

  /// POST /v1/jobs
  HttpResponse submit(const HttpRequest &Request);
  /// GET /v1/jobs
  HttpResponse list(const HttpRequest &Request);
  /// GET /v1/jobs/ID; ?wait_ms=N waits up to N ms for the job to end
  HttpResponse show(const HttpRequest &Request, const std::string &Id);
  /// DELETE /v1/jobs/ID
  HttpResponse cancel(const HttpRequest &Request, const std::string &Id);

private:
  Expected<wire::JobRecord> parseJob(const HttpRequest &Request,
                                     const Identity &Sender) const;
  Expected<void> checkSpec(const wire::JobSpec &Spec) const;
  Expected<void> checkShape(const wire::JobSpec &Spec) const;
  Expected<StoredJob> findVisible(const Identity &Sender,
                                  const std::string &Id) const;

  EntryContext &Context;
};

/// Returns the workers with a recent heartbeat in the form that the scheduler
/// takes.
std::vector<WorkerInfo> knownWorkers(const EntryContext &Context);

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_JOBAPI_H
