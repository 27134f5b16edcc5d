/** @file config_test_helpers.h Declarations and batches for tests. */

#ifndef WASABIWIND_TESTS_CONFIG_TEST_HELPERS_H_
#define WASABIWIND_TESTS_CONFIG_TEST_HELPERS_H_

#include <config.pb.h>

#include <string>

#include "base/random_func.h"

namespace wasabiwind::config {

inline gen::Change PutModel(const std::string &name, std::int64_t bytes) {
  gen::Change change;
  change.mutable_model()->set_name(name);
  change.mutable_model()->set_version("v1");
  change.mutable_model()->set_weight_bytes(bytes);
  change.mutable_model()->set_memory_bytes(bytes);
  return change;
}

inline gen::Change PutAdapter(const std::string &name,
                              const std::string &model) {
  gen::Change change;
  change.mutable_adapter()->set_name(name);
  change.mutable_adapter()->set_model(model);
  change.mutable_adapter()->set_version("v1");
  change.mutable_adapter()->set_weight_bytes(1 << 20);
  change.mutable_adapter()->set_memory_bytes(1 << 20);
  change.mutable_adapter()->set_max_replicas(1);
  return change;
}

inline gen::Change PutCustomer(const std::string &name) {
  gen::Change change;
  change.mutable_customer()->set_name(name);
  change.mutable_customer()->set_weight(1.0);
  return change;
}

inline gen::Change PutDeployment(const std::string &name,
                                 const std::string &model) {
  gen::Change change;
  gen::Deployment *deployment = change.mutable_deployment();
  deployment->set_name(name);
  deployment->set_model(model);
  deployment->add_regions("Rajkot-a");
  deployment->set_max_replicas(2);
  deployment->set_max_per_domain(1);
  deployment->set_priority("standard");
  deployment->set_queue_limit(16);
  deployment->set_max_wait_ms(1000);
  deployment->set_idle_after_ms(1000);
  deployment->set_engine_fencing("ignored");
  deployment->set_cut_off("refuse");
  return change;
}

inline gen::Change PutLimit(const std::string &name,
                            const std::string &deployment) {
  gen::Change change;
  change.mutable_limit()->set_name(name);
  change.mutable_limit()->set_deployment(deployment);
  change.mutable_limit()->set_requests_per_s(10);
  return change;
}

inline gen::Change PutRecorderGroup(const std::string &region, int epoch) {
  gen::Change change;
  change.mutable_recorder_group()->set_name(region);
  change.mutable_recorder_group()->set_epoch(epoch);
  for (const char *member : {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}) {
    change.mutable_recorder_group()->add_members(member);
  }
  return change;
}

inline gen::Change PutService(const std::string &name,
                              const std::string &region) {
  gen::Change change;
  change.mutable_service()->set_name(name);
  change.mutable_service()->add_regions(region);
  change.mutable_service()->set_home_region(region);
  change.mutable_service()->set_repeatable("never");
  change.mutable_service()->set_key_retention_ms(1000);
  change.mutable_service()->set_max_wait_ms(1000);
  change.mutable_service()->set_queue_limit(10);
  return change;
}

inline gen::Change Delete(gen::Change change) {
  change.set_is_delete(true);
  return change;
}

/** @return a random change over a few names, so that changes often concern the
 * same entity. */
inline gen::Change MakeRandomChange(base::Random *random) {
  auto pick = [random](const char *prefix) {
    return prefix + std::to_string(base::NextRandomBelow(random, 3));
  };
  gen::Change change;
  switch (base::NextRandomBelow(random, 7)) {
    case 0:
      change = PutModel(pick("m"), 1 + static_cast<std::int64_t>(
                                           base::NextRandomBelow(random, 9)));
      break;
    case 1:
      change = PutAdapter(pick("a"), pick("m"));
      break;
    case 2:
      change = PutCustomer(pick("c"));
      break;
    case 3:
      change = PutDeployment(pick("d"), pick("m"));
      if (base::NextRandomBelow(random, 2) == 0) {
        change.mutable_deployment()->add_customers(pick("c"));
      }
      break;
    case 4:
      change = PutLimit(pick("l"), pick("d"));
      break;
    case 5:
      change = PutRecorderGroup(
          "Rajkot-a", static_cast<int>(base::NextRandomBelow(random, 3)));
      break;
    default:
      change = PutService(pick("s"), "Rajkot-a");
      break;
  }
  change.set_is_delete(base::NextRandomBelow(random, 4) == 0);
  return change;
}

}  // namespace wasabiwind::config

#endif  // WASABIWIND_TESTS_CONFIG_TEST_HELPERS_H_
