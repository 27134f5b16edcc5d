/** @file control_list_machine.h State machine that lists operation IDs. */

#ifndef WASABIWIND_TESTS_CONTROL_LIST_MACHINE_H_
#define WASABIWIND_TESTS_CONTROL_LIST_MACHINE_H_

#include <replica.pb.h>

#include <map>
#include <string>
#include <vector>

#include "control/state_machine.h"

namespace wasabiwind::control {

/** Accepts each operation ID once; a resend gets the revision of the first. */
class ListMachine : public ControlStateMachine {
 public:
  std::string MakeCommand(const gen::ApplyRequest &request,
                          base::WallTime) const override {
    return request.batch().SerializeAsString();
  }

  CommandOutcome Test(const std::string &command) const override {
    gen::ChangeBatch batch;
    if (!batch.ParseFromString(command) || batch.operation_id().empty()) {
      gen::OperatorsError error;
      error.set_kind("invalid_argument");
      error.set_message("the operation ID is missing");
      return tl::unexpected(error);
    }
    gen::ApplyReply reply;
    auto known = m_revisions.find(batch.operation_id());
    reply.set_is_resend(known != m_revisions.end());
    reply.set_revision(reply.is_resend() ? known->second : m_list.size() + 1);
    return reply;
  }

  CommandOutcome Apply(const std::string &command) override {
    CommandOutcome outcome = Test(command);
    if (!outcome || outcome->is_resend()) return outcome;
    gen::ChangeBatch batch;
    batch.ParseFromString(command);
    m_list.push_back(batch);
    m_revisions[batch.operation_id()] = m_list.size();
    return outcome;
  }

  std::function<std::string()> PrepareSnapshot() const override {
    return [list = m_list] {
      gen::RepairReply all;  // used as a list of byte strings
      for (const gen::ChangeBatch &batch : list) {
        all.add_entries()->set_body(batch.SerializeAsString());
      }
      return all.SerializeAsString();
    };
  }

  base::Result<void> Restore(const std::string &bytes) override {
    gen::RepairReply all;
    if (!all.ParseFromString(bytes)) {
      return base::MakeError(base::ErrorKind::kCorrupt,
                             "the snapshot can't be parsed",
                             "replace the host");
    }
    m_list.clear();
    m_revisions.clear();
    for (const gen::LogEntry &entry : all.entries()) {
      (void)Apply(entry.body());
    }
    return {};
  }

  OperatorsResult<gen::ConfigReply> PrintConfig(
      std::optional<base::Revision>) const override {
    gen::ConfigReply reply;
    reply.set_revision(m_list.size());
    for (const gen::ChangeBatch &batch : m_list) {
      reply.mutable_text()->append(batch.operation_id() + "\n");
    }
    return reply;
  }

  gen::HistoryReply ListHistory(std::size_t limit) const override {
    gen::HistoryReply reply;
    for (std::size_t i = m_list.size(); i > 0 && limit > 0; --i, --limit) {
      reply.add_items()->set_operation_id(m_list[i - 1].operation_id());
    }
    return reply;
  }

  void FillStatus(gen::StatusReply *status) const override {
    status->set_revision(m_list.size());
  }

 private:
  std::vector<gen::ChangeBatch> m_list;
  std::map<std::string, std::uint64_t> m_revisions;
};

}  // namespace wasabiwind::control

#endif  // WASABIWIND_TESTS_CONTROL_LIST_MACHINE_H_
