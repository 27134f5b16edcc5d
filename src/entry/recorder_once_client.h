/** @file recorder_once_client.h Claims at the declared recorder groups. */

#ifndef WASABIWIND_ENTRY_RECORDER_ONCE_CLIENT_H_
#define WASABIWIND_ENTRY_RECORDER_ONCE_CLIENT_H_

#include <functional>

#include "config/catalog_type.h"
#include "entry/once_client.h"
#include "once/claim_client.h"

namespace wasabiwind::entry {

/**
 * Finds the recorder group of a region in the configuration in force and
 * claims there. Thread-safe.
 */
class RecorderOnceClient : public OnceClient {
 public:
  using GetCatalog = std::function<config::CatalogPtr()>;

  /** @param client must outlive this object; started by the owner */
  RecorderOnceClient(once::ClaimClient *client, GetCatalog get_catalog);

  ClaimDecision Claim(const ClaimRequest &request) override;
  base::Result<void> Complete(const ClaimRequest &request,
                              const std::string &claim_id,
                              const std::string &answer) override;
  void Release(const ClaimRequest &request,
               const std::string &claim_id) override;

 private:
  base::Result<once::RecorderEndpoints> FindRecorders(
      const std::string &region) const;

  once::ClaimClient *m_client;
  GetCatalog m_get_catalog;
};

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_RECORDER_ONCE_CLIENT_H_
