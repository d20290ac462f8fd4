#pragma once

#include "LibDaemon/ReplicaHost.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <utility>

/// Table edits and confirmed reads for the operators' interface.
namespace cranberryfold::daemon {

/// Returns aHash as 16 hexadecimal digits.
std::string
FormatHash(std::uint64_t aHash);

/// Parses the body of an edit request. The edit contains the changes that turn
/// aCurrent into the requested tables. Fails with kInvalidInput.
core::result<tables::edit>
ParseEditRequest(std::string_view aBody, tables::table_set const& aCurrent);

/// Returns the HTTP status and the JSON body for the result of an edit.
std::pair<unsigned, boost::json::value>
DescribeEditResult(control::edit_answer const& aResult,
                   tables::edit const& aEdit);

/// Submits an edit and waits for its result. The status is kUnknown if there is
/// none within aTimeout.
task<control::edit_answer>
AwaitEdit(asio::io_context& aContext,
          replica_host& aReplica,
          tables::edit aEdit,
          core::duration aTimeout);

/// Submits a replacement of all tables and waits for its result. The status is
/// kUnknown if there is none within aTimeout.
task<control::edit_answer>
AwaitReplacement(asio::io_context& aContext,
                 replica_host& aReplica,
                 core::edit_id aId,
                 tables::table_replacement aReplacement,
                 core::duration aTimeout);

/// Reads the tables, confirmed by a majority. Returns std::nullopt if there is
/// no result within aTimeout.
task<std::optional<control::answer_read>>
AwaitRead(asio::io_context& aContext,
          replica_host& aReplica,
          core::duration aTimeout);

}
