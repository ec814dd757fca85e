/// \file
/// Callers' jobs over HTTP.

#ifndef BAOBABCOVE_ENTRY_JOBAPI_H
#define BAOBABCOVE_ENTRY_JOBAPI_H

#include "entry/EntryContext.h"

namespace baobabcove {

/// Submits, shows, lists, waits for and cancels jobs.
class JobApi {
public:
  explicit JobApi(EntryContext &Context) : Context(Context) {}

  /// POST /v1/jobs
  HttpResponse submit(const HttpRequest &Request);
  /// GET /v1/jobs
  HttpResponse list(const HttpRequest &Request);
  /// GET /v1/jobs/ID, with ?wait_ms=N until the job has ended
  HttpResponse show(const HttpRequest &Request, const std::string &Id);
  /// DELETE /v1/jobs/ID
  HttpResponse cancel(const HttpRequest &Request, const std::string &Id);

private:
  Expected<wire::JobRecord> readJob(const HttpRequest &Request,
                                    const Identity &Sender) const;
  Expected<void> checkSpec(const wire::JobSpec &Spec) const;
  Expected<void> checkShape(const wire::JobSpec &Spec) const;
  Expected<StoredJob> findFor(const Identity &Sender,
                              const std::string &Id) const;

  EntryContext &Context;
};

/// Workers that were heard lately, as the decision library takes them.
std::vector<WorkerInfo> knownWorkers(const EntryContext &Context);

} // namespace baobabcove

#endif // BAOBABCOVE_ENTRY_JOBAPI_H
