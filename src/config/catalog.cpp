/** @file catalog.cpp Immutable, indexed copy of one configuration. */

#include "config/catalog_type.h"

namespace wasabiwind::config {

namespace {

template <typename Entity, typename Entities>
void IndexByName(const Entities &entities,
                 absl::flat_hash_map<std::string, const Entity *> *index) {
  index->reserve(static_cast<std::size_t>(entities.size()));
  for (const Entity &entity : entities) index->emplace(entity.name(), &entity);
}

template <typename Entity>
const Entity *FindByName(
    const absl::flat_hash_map<std::string, const Entity *> &index,
    const std::string &name) {
  auto found = index.find(name);
  return found == index.end() ? nullptr : found->second;
}

}  // namespace

CatalogPtr BuildCatalog(gen::Declarations declarations,
                        base::Revision revision) {
  auto catalog = std::make_shared<Catalog>();
  catalog->m_revision = revision;
  catalog->m_declarations = std::move(declarations);
  const gen::Declarations &all = catalog->m_declarations;
  IndexByName(all.model(), &catalog->m_models);
  IndexByName(all.adapter(), &catalog->m_adapters);
  IndexByName(all.deployment(), &catalog->m_deployments);
  IndexByName(all.service(), &catalog->m_services);
  IndexByName(all.customer(), &catalog->m_customers);
  IndexByName(all.recorder_group(), &catalog->m_recorder_groups);
  return catalog;
}

ResolvedModel ResolveModel(const Catalog &catalog, const std::string &name) {
  ResolvedModel resolved;
  std::size_t slash = name.find('/');
  const gen::Deployment *deployment =
      FindByName(catalog.m_deployments, name.substr(0, slash));
  if (deployment == nullptr) return resolved;
  const gen::Model *model = FindByName(catalog.m_models, deployment->model());
  if (model == nullptr) return resolved;
  resolved.m_target = MakeModelTarget(*model);
  if (slash != std::string::npos) {
    const gen::Adapter *adapter =
        FindByName(catalog.m_adapters, name.substr(slash + 1));
    if (adapter == nullptr || adapter->model() != model->name()) return {};
    resolved.m_adapter = adapter;
    resolved.m_target = MakeAdapterTarget(*model, *adapter);
  }
  resolved.m_deployment = deployment;
  resolved.m_model = model;
  return resolved;
}

base::TargetId MakeModelTarget(const gen::Model &model) {
  return base::TargetId(model.name() + "@" + model.version());
}

base::TargetId MakeAdapterTarget(const gen::Model &model,
                                 const gen::Adapter &adapter) {
  return base::TargetId(MakeModelTarget(model).Value() + "/" + adapter.name() +
                        "@" + adapter.version());
}

}  // namespace wasabiwind::config
