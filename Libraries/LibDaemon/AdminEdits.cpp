#include "LibDaemon/AdminEdits.h"

#include "LibCore/JsonReader.h"
#include "LibTables/TableRules.h"

#include <array>
#include <cstdio>
#include <limits>

#include <boost/json.hpp>

namespace cranberryfold::daemon {

namespace {

namespace json = boost::json;
using core::json_reader;
using core::presence;

constexpr core::integer_range kRevisionRange{
  0,
  std::numeric_limits<std::int64_t>::max()
};
/// Prefix of the ids of edits that the control leader proposes itself.
constexpr std::string_view kSystemEditPrefix = "system/";
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnavailable = 503;

/// Lets a coroutine wait for a single result.
template<class Result>
struct pending_result
{
  explicit pending_result(asio::any_io_executor const& aExecutor)
    : mSignal(aExecutor)
  {
  }

  void Set(Result const& aResult)
  {
    mResult = aResult;
    mSignal.Notify();
  }

  task<void> Wait(core::duration aTimeout)
  {
    auto const until = Now() + aTimeout;
    while (!mResult && Now() < until) {
      co_await mSignal.Wait(until);
    }
  }

  signal mSignal;
  std::optional<Result> mResult;
};

void
ReadAddedReplica(json_reader& aReader, tables::edit& aEdit)
{
  tables::add_replica added;
  aReader.Text("instance",
               added.mInstance.mValue,
               presence::kRequired,
               "Instance of the replica.");
  aReader.NetworkAddress("peer_address",
                         added.mPeerAddress,
                         presence::kRequired,
                         "Peer address of its daemon.");
  aEdit.mChanges.emplace_back(added);
}

void
ReadRemovedReplica(json_reader& aReader, tables::edit& aEdit)
{
  tables::remove_replica removed;
  aReader.Text("instance",
               removed.mInstance.mValue,
               presence::kRequired,
               "Instance of the replica.");
  aEdit.mChanges.emplace_back(removed);
}

}

std::string
FormatHash(std::uint64_t aHash)
{
  constexpr std::size_t kBufferBytes = 17;
  std::array<char, kBufferBytes> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(aHash));
  return text.data();
}

core::result<tables::edit>
ParseEditRequest(std::string_view aBody, tables::table_set const& aCurrent)
{
  tables::edit edit;
  auto reader = json_reader::ForText(aBody, "edit");
  reader.Text(
    "edit_id", edit.mId.mValue, presence::kRequired, "Id of the edit.");
  reader.Number("base_revision",
                edit.mBase.mValue,
                kRevisionRange,
                presence::kRequired,
                "Revision that the edit was made against.");
  reader.Object(
    "add_replica",
    presence::kOptional,
    [&edit](json_reader& aNested) { ReadAddedReplica(aNested, edit); },
    "Control replica to add.");
  reader.Object(
    "remove_replica",
    presence::kOptional,
    [&edit](json_reader& aNested) { ReadRemovedReplica(aNested, edit); },
    "Control replica to remove.");
  if (edit.mId.mValue.starts_with(kSystemEditPrefix)) {
    reader.Reject("edit_id", "an id that does not begin with system/");
  }
  tables::table_set wanted;
  bool const hasTables = reader.Object(
    "tables",
    presence::kOptional,
    [&wanted](json_reader& aNested) { tables::ReadTables(aNested, wanted); },
    "Both tables as they should be after the edit.");
  BOOST_LEAF_CHECK(reader.Finish());
  if (hasTables) {
    BOOST_LEAF_CHECK(tables::CheckTables(wanted));
    // Operators cannot edit the claim map.
    wanted.mClaimMap = aCurrent.mClaimMap;
    auto const changes = tables::CompareTables(aCurrent, wanted);
    edit.mChanges.insert(edit.mChanges.end(), changes.begin(), changes.end());
  }
  return edit;
}

std::pair<unsigned, json::value>
DescribeEditResult(control::edit_answer const& aResult,
                   tables::edit const& aEdit)
{
  using control::edit_status;
  json::object body{
    { "result", control::EditStatusName(aResult.mStatus) },
    { "revision", aResult.mRevision.mValue },
    { "edit_id", aEdit.mId.mValue },
  };
  if (!aResult.mReason.empty()) {
    body["error"] = aResult.mReason;
  }
  switch (aResult.mStatus) {
    case edit_status::kAccepted:
    case edit_status::kUnchanged:
      return { kOk, body };
    case edit_status::kConflict:
      body["edit_id"] = aResult.mEdit.mValue;
      return { kConflict, body };
    case edit_status::kInvalid:
      return { kBadRequest, body };
    default:
      return { kUnavailable, body };
  }
}

task<control::edit_answer>
AwaitEdit(asio::io_context& aContext,
          replica_host& aReplica,
          tables::edit aEdit,
          core::duration aTimeout)
{
  auto const pending = std::make_shared<pending_result<control::edit_answer>>(
    aContext.get_executor());
  aReplica.SubmitEdit(
    std::move(aEdit),
    [pending](control::edit_answer const& aResult) { pending->Set(aResult); });
  co_await pending->Wait(aTimeout);
  co_return pending->mResult.value_or(control::edit_answer{});
}

task<control::edit_answer>
AwaitReplacement(asio::io_context& aContext,
                 replica_host& aReplica,
                 core::edit_id aId,
                 tables::table_replacement aReplacement,
                 core::duration aTimeout)
{
  auto const pending = std::make_shared<pending_result<control::edit_answer>>(
    aContext.get_executor());
  aReplica.SubmitReplacement(
    std::move(aId),
    std::move(aReplacement),
    [pending](control::edit_answer const& aResult) { pending->Set(aResult); });
  co_await pending->Wait(aTimeout);
  co_return pending->mResult.value_or(control::edit_answer{});
}

task<std::optional<control::answer_read>>
AwaitRead(asio::io_context& aContext,
          replica_host& aReplica,
          core::duration aTimeout)
{
  auto const pending = std::make_shared<pending_result<control::answer_read>>(
    aContext.get_executor());
  aReplica.Read(true, [pending](control::answer_read const& aResult) {
    pending->Set(aResult);
  });
  co_await pending->Wait(aTimeout);
  co_return pending->mResult;
}

}
