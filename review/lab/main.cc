// Runs one case: lab CASE ROOT RECORD. With TROUBLE=0 in the environment, without its disruption.

#include <csignal>
#include <cstdlib>
#include <cstring>

#include "cases.h"

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "lab CASE ROOT RECORD\n");
        return lab::could_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    alarm(118); // ends a case that hangs; the members end with this process
    const char* trouble = std::getenv("TROUBLE");
    const lab::arguments a{argv[2], argv[3], trouble == nullptr || std::strcmp(trouble, "0") != 0};
    const auto known = lab::cases().find(argv[1]);
    return known == lab::cases().end() ? lab::could_not_run : known->second(a);
}
