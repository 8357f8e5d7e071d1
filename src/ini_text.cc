// Reads INI text with Boost.PropertyTree, which gives no line numbers, and scans the text for them.

#include "ini_text.h"

#include <algorithm>
#include <map>
#include <sstream>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace sesamesill {
namespace {

using tree = boost::property_tree::ptree;
using line_numbers = std::map<std::string, int>; ///< keys are "section" and "section\nkey"

std::string trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r";
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(begin, text.find_last_not_of(blanks) - begin + 1));
}

line_numbers lines_of(std::string_view text)
{
    line_numbers result;
    std::istringstream input{std::string(text)};
    std::string section;
    std::string line;
    for (int number = 1; std::getline(input, line); ++number) {
        const std::string content = trimmed(line);
        if (content.empty() || content[0] == ';' || content[0] == '#') {
            continue;
        }
        if (content[0] == '[') {
            section = trimmed(content.substr(1, content.find(']') - 1));
            result.emplace(section, number);
            continue;
        }
        result.emplace(section + "\n" + trimmed(content.substr(0, content.find('='))), number);
    }
    return result;
}

int line_at(const line_numbers& lines, const std::string& name)
{
    const auto found = lines.find(name);
    return found == lines.end() ? 0 : found->second;
}

/// Returns the Levenshtein distance between two names.
std::size_t edits_between(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) {
        row[j] = j;
    }
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row[b.size()];
}

} // namespace

std::optional<std::vector<ini_section>> read_ini_text(std::string_view text,
                                                      std::vector<fault>& faults)
{
    std::istringstream input{std::string(text)};
    tree document;
    try {
        boost::property_tree::ini_parser::read_ini(input, document);
    }
    catch (const boost::property_tree::ini_parser_error& e) {
        faults.push_back({static_cast<int>(e.line()), "", "", e.message(), ""});
        return std::nullopt;
    }
    const line_numbers lines = lines_of(text);
    std::vector<ini_section> result;
    for (const tree::value_type& section : document) {
        ini_section s;
        s.title = section.first;
        s.line = line_at(lines, s.title);
        if (section.second.empty()) {
            // PropertyTree reads a key before the first section as a leaf without children.
            const int line = std::max(s.line, line_at(lines, "\n" + s.title));
            faults.push_back({line, "", s.title, "stands outside of any section", ""});
            continue;
        }
        for (const tree::value_type& entry : section.second) {
            s.entries.push_back({entry.first, trimmed(entry.second.data()),
                                 line_at(lines, s.title + "\n" + entry.first)});
        }
        result.push_back(std::move(s));
    }
    return result;
}

std::string nearest_name(std::string_view name, const std::vector<std::string_view>& known)
{
    constexpr std::size_t max_edits = 3;
    std::string_view best;
    std::size_t best_edits = max_edits + 1;
    for (const std::string_view candidate : known) {
        const std::size_t edits = edits_between(name, candidate);
        if (edits < best_edits && edits < candidate.size()) {
            best = candidate;
            best_edits = edits;
        }
    }
    return std::string(best);
}

} // namespace sesamesill
