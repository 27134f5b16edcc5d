/** @file scenario_type.h A parsed scenario. */

#ifndef WASABIWIND_SCENARIO_SCENARIO_TYPE_H_
#define WASABIWIND_SCENARIO_SCENARIO_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_type.h"

namespace wasabiwind::scenario {

enum class StatementKind : std::uint8_t {
  kStart,      ///< start PARTS
  kStop,       ///< stop PARTS: SIGTERM, wait for a clean exit
  kTerminate,  ///< terminate PARTS: SIGTERM without waiting
  kKill,       ///< kill PARTS: SIGKILL
  kPause,      ///< pause PARTS: SIGSTOP
  kContinue,   ///< continue PARTS: SIGCONT
  kRestart,    ///< restart PARTS: stop, then start
  kReplace,    ///< replace PARTS: kill, delete the data folder, start
  kPartition,  ///< partition PARTS from NODES
  kHeal,       ///< heal PARTS
  kFault,      ///< fault PARTS JSON
  kPost,       ///< post ADDRESS PATH [STATUS] JSON
  kWait,       ///< wait DURATION
  kMark,       ///< mark LABEL
  kLoad,       ///< load ID FLAGS
  kRun,        ///< run ID PROGRAM ARGUMENTS
  kFinish,     ///< finish IDS
  kExpect,     ///< expect SUBJECT ...
  kCheck,      ///< check INVARIANT ...
  kEnd,
};

enum class ExpectKind : std::uint8_t {
  kLoad,     ///< expect load ID FIELD OP VALUE
  kMetric,   ///< expect metric PART SERIES OP VALUE
  kStatus,   ///< expect status ADDRESS PATH OP CODE
  kBody,     ///< expect body ADDRESS PATH contains TEXT
  kJson,     ///< expect json ADDRESS PATH FIELD OP VALUE
  kExit,     ///< expect exit ID OP CODE
  kOutput,   ///< expect output ID contains TEXT
  kLog,      ///< expect log PART contains TEXT
  kRunning,  ///< expect running PART
  kExited,   ///< expect exited PART
  kEnd,
};

enum class CheckKind : std::uint8_t {
  kAnswers,   ///< check answers IDS
  kOrders,    ///< check orders IDS at PARTS
  kMemory,    ///< check memory PARTS
  kReplicas,  ///< check replicas PARTS TARGET <= N
  kNoWork,    ///< check no-work PART after LABEL DURATION
  kEnd,
};

enum class CompareOperator : std::uint8_t {
  kEqual,
  kNotEqual,
  kLess,
  kLessEqual,
  kGreater,
  kGreaterEqual,
  kEnd,
};

/** One line to execute. Unused fields are empty. */
struct Statement {
  StatementKind m_kind = StatementKind::kEnd;
  ExpectKind m_expect = ExpectKind::kEnd;
  CheckKind m_check = CheckKind::kEnd;
  int m_line = 0;
  std::string m_text;           ///< the line as written
  bool m_is_planted = false;    ///< "planted:", only in the run with the fault
  bool m_is_unplanted = false;  ///< "unplanted:", only in the run without it
  std::vector<std::string> m_names;      ///< parts, or IDs of runs
  std::vector<std::string> m_parts;      ///< parts that a check reads
  std::vector<std::string> m_arguments;  ///< flags, path, field, target, label
  std::string m_value;                   ///< JSON, text or number
  CompareOperator m_operator = CompareOperator::kEnd;
  base::Duration m_duration{0};  ///< of wait, or of no-work after a label
  base::Duration m_within{0};    ///< time in which an expectation must hold
};

/** A process that the scenario can start (part). */
struct PartDeclaration {
  std::string m_name;
  std::string m_program;   ///< binary name
  std::string m_settings;  ///< INI text before substitution
  int m_line = 0;
};

/** A file to write before the first statement. */
struct FileDeclaration {
  std::string m_name;
  std::string m_text;
};

struct Scenario {
  std::string m_title;
  base::Duration m_limit = base::seconds(60);  ///< for the whole scenario
  std::string m_planted_failure;  ///< must be part of the planted run's error
  std::vector<PartDeclaration> m_parts;
  std::vector<FileDeclaration> m_files;
  std::vector<Statement> m_statements;
};

}  // namespace wasabiwind::scenario

#endif  // WASABIWIND_SCENARIO_SCENARIO_TYPE_H_
