// Names of the sources of evidence.

#include "sesamesill/pool_evidence.h"

#include "sesamesill/names.h"

namespace sesamesill::pool {
namespace {

constexpr name_table<evidence_source, 7> source_names{
    {{evidence_source::start_refusal, "its start was refused or never sent"},
     {evidence_source::report, "the worker reported its runs"},
     {evidence_source::other_incarnation, "another incarnation answers at its address"},
     {evidence_source::newer_incarnation, "its machine runs a newer incarnation"},
     {evidence_source::left_as_announced, "it drained and left"},
     {evidence_source::lease_expired, "its lease has expired"},
     {evidence_source::complete_directory, "the directory shows every live worker"}}};

} // namespace

std::string_view name_of(evidence_source source)
{
    return name_in(source_names, source);
}

} // namespace sesamesill::pool
