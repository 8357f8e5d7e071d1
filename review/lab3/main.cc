// lab CASE RECORD [0]: plays one case; without its disruption if the last word is 0.

#include <csignal>
#include <cstring>
#include <iostream>

#include "lab.h"

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc < 3) {
        std::cerr << "lab CASE RECORD [0]\n";
        return lab3::could_not_run;
    }
    const std::map<std::string, int (*)(lab3::cell&, bool)> cases{
        {"foreign-entry", lab3::foreign_entry},
        {"late-successor", lab3::late_successor},
        {"other-kind", lab3::other_kind},
        {"daily-jobs", lab3::daily_jobs},
        {"overtaken-cancel", lab3::overtaken_cancel},
        {"same-id", lab3::same_id}};
    const auto found = cases.find(argv[1]);
    if (found == cases.end()) {
        std::cerr << "no such case\n";
        return lab3::could_not_run;
    }
    lab3::record log(argv[2]);
    lab3::cell c(log, 6);
    return found->second(c, argc < 4 || std::strcmp(argv[3], "0") != 0);
}
