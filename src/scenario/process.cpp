/** @file process.cpp Child processes of the scenario runner. */

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <thread>

#include "scenario/process_base.h"

namespace wasabiwind::scenario {

namespace {

constexpr base::milliseconds kExitPollInterval{5};
constexpr int kExecFailedCode = 127;

/** Runs in the child process after fork; calls exec. */
[[noreturn]] void ExecProgram(char **arguments, int output, pid_t parent) {
  // Has the kernel kill the child when its parent ends, even by a signal.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(kExecFailedCode);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::execv(arguments[0], arguments);
  ::_exit(kExecFailedCode);
}

}  // namespace

std::string ExitStatus::ToString() const {
  if (m_signal != 0) return fmt::format("signal {}", m_signal);
  return fmt::format("code {}", m_code);
}

ChildProcess::~ChildProcess() {
  if (!IsRunning()) return;
  Signal(SIGKILL);
  ::waitpid(m_pid, nullptr, 0);
}

base::Result<void> ChildProcess::Start(
    const std::string &program, const std::vector<std::string> &arguments,
    const std::string &output) {
  assert(!IsRunning());
  int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                    S_IRUSR | S_IWUSR);
  if (file < 0) {
    return base::MakeError(
        base::ErrorKind::kIo,
        fmt::format("can't open {}: {}", output, std::strerror(errno)));
  }
  std::vector<std::string> words = {program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char *> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string &word : words) pointers.push_back(word.data());
  pointers.push_back(nullptr);
  pid_t parent = ::getpid();
  pid_t pid = ::fork();
  if (pid == 0) ExecProgram(pointers.data(), file, parent);
  ::close(file);
  if (pid < 0) {
    return base::MakeError(
        base::ErrorKind::kIo,
        fmt::format("can't start {}: {}", program, std::strerror(errno)));
  }
  m_pid = pid;
  m_status.reset();
  return {};
}

std::size_t ChildProcess::ReadPeakResidentBytes() const {
  std::ifstream status(fmt::format("/proc/{}/status", m_pid));
  std::string word;
  while (status >> word) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) return kilobytes * 1024;
  }
  return 0;
}

void ChildProcess::Signal(int signal) {
  if (IsRunning()) ::kill(m_pid, signal);
}

std::optional<ExitStatus> ChildProcess::Poll() {
  if (m_status || m_pid < 0) return m_status;
  int raw = 0;
  if (::waitpid(m_pid, &raw, WNOHANG) != m_pid) return std::nullopt;
  ExitStatus status;
  if (WIFSIGNALED(raw)) {
    status.m_signal = WTERMSIG(raw);
  } else {
    status.m_code = WEXITSTATUS(raw);
  }
  m_status = status;
  return m_status;
}

std::optional<ExitStatus> ChildProcess::WaitUntil(base::TimePoint deadline) {
  while (true) {
    std::optional<ExitStatus> status = Poll();
    if (status || m_pid < 0 || base::Clock::now() >= deadline) return status;
    std::this_thread::sleep_for(kExitPollInterval);
  }
}

bool ChildProcess::IsRunning() { return m_pid >= 0 && !Poll().has_value(); }

}  // namespace wasabiwind::scenario
