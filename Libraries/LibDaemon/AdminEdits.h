#pragma once

#include "LibDaemon/ReplicaHost.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <utility>

/// Edits and confirmed reads of the operators' interface.
namespace cranberryfold::daemon {

std::string
FormatHash(std::uint64_t aHash);

/// Parses the body of an edit request. The changes are what leads from aCurrent
/// to the tables in the request. Fails with kInvalidInput.
core::result<tables::edit>
ParseEditRequest(std::string_view aBody, tables::table_set const& aCurrent);

/// Returns HTTP status and body for the answer to an edit.
std::pair<unsigned, boost::json::value>
DescribeEditAnswer(control::edit_answer const& aAnswer,
                   tables::edit const& aEdit);

/// Submits an edit and waits for its answer; kUnknown after aTimeout.
task<control::edit_answer>
AwaitEdit(asio::io_context& aContext,
          replica_host& aReplica,
          tables::edit aEdit,
          core::duration aTimeout);

/// Submits a replacement of all tables and waits for its answer; kUnknown after
/// aTimeout.
task<control::edit_answer>
AwaitReplacement(asio::io_context& aContext,
                 replica_host& aReplica,
                 core::edit_id aId,
                 tables::table_replacement aReplacement,
                 core::duration aTimeout);

/// Reads the tables with a majority's confirmation; nothing after aTimeout.
task<std::optional<control::answer_read>>
AwaitRead(asio::io_context& aContext,
          replica_host& aReplica,
          core::duration aTimeout);

}
