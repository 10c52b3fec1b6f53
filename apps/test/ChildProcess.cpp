#include "ChildProcess.h"

#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace whinyard::apptest {

namespace {

    std::vector<char*> pointersTo(std::vector<std::string>& texts)
    {
        std::vector<char*> pointers;
        for (std::string& text : texts)
            pointers.push_back(text.data());
        pointers.push_back(nullptr);
        return pointers;
    }

}

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::vector<std::string>& environment, const std::string& logFile, ChildOutput output)
{
    std::vector<std::string> words { program };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<std::string> variables = environment;
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int appending = O_WRONLY | O_CREAT | O_APPEND;
    if (output == ChildOutput::pipe)
        posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    else
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), appending, 0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), appending, 0600);
    // A socket of ours that the child inherits stays open for as long as that lives.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, pointersTo(words).data(), pointersTo(variables).data());
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    m_output = ends[0];
    if (error != 0)
        throw std::runtime_error("can't start " + program);
}

ChildProcess::~ChildProcess()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        wait();
    }
    close(m_output);
}

std::optional<std::string> ChildProcess::readLine()
{
    std::string line;
    char byte = 0;
    while (read(m_output, &byte, 1) == 1) {
        if (byte == '\n')
            return line;
        line.push_back(byte);
    }
    return std::nullopt;
}

void ChildProcess::signal(int number) const
{
    kill(m_pid, number);
}

int ChildProcess::wait()
{
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}
