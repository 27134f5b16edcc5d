/** @file catalog_type.h Immutable, indexed copy of one configuration. */

#ifndef WASABIWIND_CONFIG_CATALOG_TYPE_H_
#define WASABIWIND_CONFIG_CATALOG_TYPE_H_

#include <absl/container/flat_hash_map.h>
#include <config.pb.h>

#include <memory>
#include <string>
#include <vector>

#include "base/id_type.h"

namespace wasabiwind::config {

/** The parts of a configuration that are needed to handle requests.
 * Thread-safe: never changes after it was built. */
struct Catalog {
  base::Revision m_revision;
  gen::Declarations m_declarations;  ///< owns what the indexes point to
  absl::flat_hash_map<std::string, const gen::Model *> m_models;
  absl::flat_hash_map<std::string, const gen::Adapter *> m_adapters;
  absl::flat_hash_map<std::string, const gen::Deployment *> m_deployments;
  absl::flat_hash_map<std::string, const gen::Service *> m_services;
  absl::flat_hash_map<std::string, const gen::Customer *> m_customers;
  absl::flat_hash_map<std::string, const gen::RecorderGroup *>
      m_recorder_groups;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

/** @return the indexed copy of the declarations. */
CatalogPtr BuildCatalog(gen::Declarations declarations,
                        base::Revision revision);

/** What the `model` field of a request names. */
struct ResolvedModel {
  const gen::Deployment *m_deployment = nullptr;  ///< nullptr if unknown
  const gen::Model *m_model = nullptr;
  const gen::Adapter *m_adapter = nullptr;  ///< nullptr without adapter
  base::TargetId m_target;  ///< model@version or model@version/adapter@version
};

/**
 * Resolves "deployment" or "deployment/adapter". The result points into the
 * catalog.
 */
ResolvedModel ResolveModel(const Catalog &catalog, const std::string &name);

/** @return "model@version". */
base::TargetId MakeModelTarget(const gen::Model &model);

/** @return "model@version/adapter@version". */
base::TargetId MakeAdapterTarget(const gen::Model &model,
                                 const gen::Adapter &adapter);

}  // namespace wasabiwind::config

#endif  // WASABIWIND_CONFIG_CATALOG_TYPE_H_
